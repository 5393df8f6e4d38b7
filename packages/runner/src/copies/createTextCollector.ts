import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { Clock } from "@auburnarch/types/Clock";
import type { PeerView } from "../peers/PeerView.js";
import type { FoundText } from "./FoundText.js";
import type { HeldCopies } from "./HeldCopies.js";
import type { ReadTextsAnswer } from "./ReadTextsAnswer.js";
import type { ReadTextsRequest } from "./ReadTextsRequest.js";

interface TextCollectorDeps {
    self: string;
    held: Pick<HeldCopies, "list">;
    peers: () => PeerView[];
    /** Peers that do not know the method. */
    unsupported: () => ReadonlySet<string>;
    read: (runner: string, request: ReadTextsRequest, timeoutMs: number) => Promise<ReadTextsAnswer>;
    clock: Clock;
}

/** The batch job's items wait for this; without the texts they are generated again, which is what takes seconds. */
const maxWaitMs = 300;
/** A peer that has just missed a probe would only be waited for in vain. */
const maxAnswerAgeMs = 800;

/**
 * Creates the function that collects the copies of a batch job's texts from this runner and all live peers. It never
 * rejects; answers that are missing after 300 ms are ignored.
 */
export function createTextCollector(deps: TextCollectorDeps) {
    const { self, clock } = deps;

    async function collectFrom(runner: string, lot: BatchJobId, found: FoundText[]): Promise<void> {
        const endMs = clock.monotonicMs() + maxWaitMs;
        let request: ReadTextsRequest = { lot, from: self };
        for (;;) {
            const { texts, hasMore } = await deps.read(runner, request, endMs - clock.monotonicMs());
            found.push(...texts.map(text => ({ ...text, from: runner })));
            const after = texts.at(-1)?.item;
            if (hasMore !== true || after === undefined || clock.monotonicMs() >= endMs) {
                return;
            }
            request = { lot, from: self, after };
        }
    }

    return async (lot: BatchJobId): Promise<FoundText[]> => {
        const found: FoundText[] = deps.held.list(lot).map(text => ({ ...text, from: self }));
        const unsupported = deps.unsupported();
        const asked = deps.peers().filter(({ name, isAlive, answerAgeMs }) =>
            isAlive && answerAgeMs < maxAnswerAgeMs && !unsupported.has(name)
        );
        const timer = new AbortController();
        await Promise.race([
            Promise.allSettled(asked.map(({ name }) => collectFrom(name, lot, found))),
            clock.sleep(maxWaitMs, timer.signal),
        ]);
        timer.abort();
        return [...found];
    };
}
