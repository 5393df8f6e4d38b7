import type { Clock } from "@auburnarch/types/Clock";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { LinkMode } from "./LinkMode.js";
import type { LinkProxy } from "./LinkProxy.js";
import type { LinkUse } from "./LinkUse.js";

interface SocketPair {
    client: Socket;
    target: Socket;
    isSilenced: boolean;
}

const slowDelayMs = 120;

/** Creates a proxy that listens on loopback and forwards connections to `targetPort` according to its current mode. */
export async function createLinkProxy(clock: Clock, targetPort: () => number): Promise<LinkProxy> {
    const pairs = new Set<SocketPair>();
    const uses: LinkUse[] = [];
    let mode: LinkMode = "well";

    const recordUse = (kind: LinkUse["kind"]): void => void uses.push({ atMs: clock.monotonicMs(), kind });

    function isForwarded(pair: SocketPair, isAnswer: boolean): boolean {
        return !pair.isSilenced && mode !== "silent" && !(mode === "deaf" && isAnswer);
    }

    /** Data that is not forwarded is lost: from then on its connection is silent, as in a partition that outlasts it. */
    function forward(pair: SocketPair, from: Socket, to: Socket, isAnswer: boolean): void {
        let lastWrite = Promise.resolve();
        from.on("data", chunk => {
            if (!isForwarded(pair, isAnswer)) {
                pair.isSilenced = true;
                return;
            }
            const delayMs = mode === "slow" ? slowDelayMs : 0;
            lastWrite = lastWrite.then(async () => {
                if (delayMs > 0) {
                    await clock.sleep(delayMs);
                }
                if (!to.destroyed && !pair.isSilenced) {
                    to.write(chunk);
                }
            });
        });
        from.on("end", () => void lastWrite.then(() => pair.isSilenced ? undefined : to.end()));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            pairs.delete(pair);
            if (!pair.isSilenced) {
                void lastWrite.then(() => to.destroy());
            }
        });
    }

    const server = createServer({ allowHalfOpen: true }, client => {
        recordUse("connection");
        if (mode === "reset") {
            client.on("error", () => undefined);
            client.resetAndDestroy();
            return;
        }
        const target = connect({ host: "127.0.0.1", port: targetPort(), allowHalfOpen: true });
        const pair = { client, target, isSilenced: false };
        pairs.add(pair);
        client.on("data", () => recordUse("bytes"));
        forward(pair, client, target, false);
        forward(pair, target, client, true);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        port: (server.address() as AddressInfo).port,
        mode: () => mode,
        setMode: next => {
            mode = next === "oldSilent" ? "well" : next;
            for (const pair of pairs) {
                pair.isSilenced ||= next === "oldSilent";
                if (next === "reset") {
                    pair.client.resetAndDestroy();
                    pair.target.resetAndDestroy();
                }
            }
        },
        uses: () => uses,
        close: () => {
            server.close();
            pairs.forEach(({ client: near, target: far }) => {
                near.destroy();
                far.destroy();
            });
        },
    };
}
