import type { Clock } from "@auburnarch/types/Clock";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { LinkMode } from "./LinkMode.js";
import type { LinkProxy } from "./LinkProxy.js";

interface Pair {
    near: Socket;
    far: Socket;
    isSilenced: boolean;
}

const slowDelayMs = 120;

/** Listens on loopback and carries connections to `targetPort`, as the mode of the moment has it. */
export async function createLinkProxy(clock: Clock, targetPort: () => number): Promise<LinkProxy> {
    const pairs = new Set<Pair>();
    let mode: LinkMode = "well";

    function isCarried(pair: Pair, isAnswer: boolean): boolean {
        return !pair.isSilenced && mode !== "silent" && !(mode === "deaf" && isAnswer);
    }

    /** What is not carried is lost for good: the receiver sees silence, as behind a partition that outlasts it. */
    function carry(pair: Pair, from: Socket, to: Socket, isAnswer: boolean): void {
        let last = Promise.resolve();
        from.on("data", chunk => {
            if (!isCarried(pair, isAnswer)) {
                pair.isSilenced = true;
                return;
            }
            const delayMs = mode === "slow" ? slowDelayMs : 0;
            last = last.then(async () => {
                if (delayMs > 0) {
                    await clock.sleep(delayMs);
                }
                if (!to.destroyed && !pair.isSilenced) {
                    to.write(chunk);
                }
            });
        });
        from.on("end", () => void last.then(() => pair.isSilenced ? undefined : to.end()));
        from.on("error", () => to.destroy());
        from.on("close", () => {
            pairs.delete(pair);
            if (!pair.isSilenced) {
                void last.then(() => to.destroy());
            }
        });
    }

    const server = createServer({ allowHalfOpen: true }, near => {
        if (mode === "reset") {
            near.on("error", () => undefined);
            near.resetAndDestroy();
            return;
        }
        const far = connect({ host: "127.0.0.1", port: targetPort(), allowHalfOpen: true });
        const pair = { near, far, isSilenced: false };
        pairs.add(pair);
        carry(pair, near, far, false);
        carry(pair, far, near, true);
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
                    pair.near.resetAndDestroy();
                    pair.far.resetAndDestroy();
                }
            }
        },
        close: () => {
            server.close();
            pairs.forEach(({ near, far }) => {
                near.destroy();
                far.destroy();
            });
        },
    };
}
