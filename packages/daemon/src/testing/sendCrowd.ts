import { connect, type Socket } from "node:net";

interface CrowdMember {
    /** Pieces to send, one after the other; the connection stays open after the last one. */
    pieces: () => Iterable<string | Uint8Array>;
    /** Whether the member reads what it is sent. */
    isReading?: boolean;
    /** Whether the member disconnects after its last piece. */
    isLeaving?: boolean;
}

interface Crowd {
    /** Status codes that the members have received, 0 for none, in the order of the members. */
    statuses(): number[];
    openConnections(): number;
    close(): void;
}

const statusPattern = /^HTTP\/1\.1 (\d{3})/u;

/** Sends the pieces, waiting while the socket is full. Resolves also if the connection ends before the last one. */
async function sendPieces(socket: Socket, pieces: Iterable<string | Uint8Array>): Promise<void> {
    for (const piece of pieces) {
        if (socket.destroyed || !socket.writable) {
            return;
        }
        if (!socket.write(piece)) {
            await new Promise<void>(resolve => {
                const done = (): void => {
                    socket.removeListener("drain", done);
                    socket.removeListener("close", done);
                    resolve();
                };
                socket.once("drain", done);
                socket.once("close", done);
            });
        }
    }
}

/** Opens a connection for each member at once; resolves when all have sent everything or are disconnected. */
export async function sendCrowd(port: number, members: CrowdMember[]): Promise<Crowd> {
    const statuses = members.map(() => 0);
    const sockets = members.map(({ isReading = true }, index) => {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => undefined);
        if (isReading) {
            socket.on("data", data => {
                statuses[index] ||= Number(statusPattern.exec(data.toString("latin1"))?.[1] ?? 0);
            });
        }
        return socket;
    });
    await Promise.all(members.map(async ({ pieces, isLeaving = false }, index) => {
        const socket = sockets[index]!;
        await new Promise<void>(resolve => {
            socket.once("connect", resolve);
            socket.once("close", () => resolve());
        });
        await sendPieces(socket, pieces());
        if (isLeaving) {
            socket.destroy();
        }
    }));
    return {
        statuses: () => statuses,
        openConnections: () => sockets.filter(socket => !socket.destroyed).length,
        close: () => sockets.forEach(socket => socket.destroy()),
    };
}
