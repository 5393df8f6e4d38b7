import { answerMessage } from "./answerMessage.js";
import { callInTime } from "./callInTime.js";
import type { DocumentSet } from "./DocumentSet.js";
import { parseWith } from "./parseWith.js";
import type { SpreadDeps } from "./SpreadDeps.js";
import type { SpreadMessage } from "./SpreadMessage.js";
import { spreadMessageSchema } from "./spreadMessageSchema.js";
import type { SpreadTiming } from "./SpreadTiming.js";

/** A first message, a digest and the documents asked for: more rounds than these settle nothing. */
const maxRounds = 4;

const needsFollowUp = (answer: SpreadMessage): boolean =>
    answer.digest !== undefined || answer.wanted !== undefined;

/** Makes the function that holds one whole exchange with a peer. It resolves with true if the peer answered. */
export function createExchanger(
    deps: Pick<SpreadDeps, "clock" | "exchange">,
    documents: DocumentSet,
    timing: SpreadTiming,
): (address: string, first: SpreadMessage) => Promise<boolean> {
    /** The peer's answer; undefined without one. Membership judges whether the peer is gone. */
    async function send(address: string, message: SpreadMessage): Promise<SpreadMessage | undefined> {
        const call = async (): Promise<SpreadMessage> =>
            parseWith<SpreadMessage>(spreadMessageSchema, await deps.exchange(address, message));
        const outcome = await callInTime(deps.clock, timing.exchangeTimeoutMs, call);
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
