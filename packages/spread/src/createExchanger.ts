import { answerMessage } from "./answerMessage.js";
import type { DocumentSet } from "./DocumentSet.js";
import { parseMessage } from "./parseMessage.js";
import type { SpreadDeps } from "./SpreadDeps.js";
import type { SpreadMessage } from "./SpreadMessage.js";
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
    async function send(address: string, message: SpreadMessage): Promise<SpreadMessage | undefined> {
        const timeout = new AbortController();
        // A peer that takes the message and never answers must not hold an exchange open for ever.
        const expired = deps.clock.sleep(timing.exchangeTimeoutMs, timeout.signal).then(() => undefined);
        try {
            const answer = await Promise.race([deps.exchange(address, message), expired]);
            return answer === undefined ? undefined : parseMessage(answer);
        }
        catch {
            // The next exchange goes to another peer; membership judges whether this one is gone.
            return undefined;
        }
        finally {
            timeout.abort();
        }
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
