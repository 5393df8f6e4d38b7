import { answerMessage } from "./answerMessage.js";
import { callWithTimeout } from "./callWithTimeout.js";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";
import { parseMessage } from "./parseMessage.js";
import type { SyncMessage } from "./SyncMessage.js";
import { syncMessageSchema } from "./syncMessageSchema.js";

/** Enough for a checksum, a digest and the requested documents; further rounds would add nothing. */
const maxRounds = 4;

const needsFollowUp = (answer: SyncMessage): boolean =>
    answer.digest !== undefined || answer.wanted !== undefined;

/** Creates the function that runs one exchange with a peer; it resolves with true if the peer answered. */
export function createPeerExchange(
    deps: Pick<DocumentSyncDeps, "clock" | "exchange">,
    documents: DocumentSet,
    timing: DocumentSyncTiming,
): (address: string, first: SyncMessage) => Promise<boolean> {
    /** The peer's answer; undefined without one. Membership decides whether the peer is down. */
    async function send(address: string, message: SyncMessage): Promise<SyncMessage | undefined> {
        const call = async (): Promise<SyncMessage> =>
            parseMessage<SyncMessage>(syncMessageSchema, await deps.exchange(address, message));
        const outcome = await callWithTimeout(deps.clock, timing.exchangeTimeoutMs, call);
        return outcome?.answer;
    }

    return async (address, first) => {
        let message = first;
        for (let round = 0; round < maxRounds; round++) {
            const answer = await send(address, message);
            if (answer === undefined) {
                return round > 0;
            }
            message = answerMessage(documents, answer);
            if (!needsFollowUp(answer) && message.wanted === undefined) {
                return true;
            }
        }
        return true;
    };
}
