import { answerMessage } from "./answerMessage.js";
import { callWithTimeout } from "./callWithTimeout.js";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";
import { parseMessage } from "./parseMessage.js";
import type { SyncMessage } from "./SyncMessage.js";
import { syncMessageSchema } from "./syncMessageSchema.js";

/** A first message, a digest and the documents asked for: more rounds than these settle nothing. */
const maxRounds = 4;

const needsFollowUp = (answer: SyncMessage): boolean =>
    answer.digest !== undefined || answer.wanted !== undefined;

/** Makes the function that holds one whole exchange with a peer. It resolves with true if the peer answered. */
export function createPeerExchange(
    deps: Pick<DocumentSyncDeps, "clock" | "exchange">,
    documents: DocumentSet,
    timing: DocumentSyncTiming,
): (address: string, first: SyncMessage) => Promise<boolean> {
    /** The peer's answer; undefined without one. Membership judges whether the peer is gone. */
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
