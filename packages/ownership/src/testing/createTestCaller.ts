import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { TestTrainerReport } from "./TestTrainerReport.js";
import type { TrainerConnection } from "./TrainerConnection.js";

const callTimeoutMs = 4_000;
const retryMs = 150;

interface CallerOptions {
    clock: Clock;
    random: Random;
    /** Connection for the next call; undefined while no owner is reachable. */
    connect: () => TrainerConnection | undefined;
    /** Probability that the answer of a call is lost. */
    loseAnswerChance: () => number;
}

interface TestCaller {
    /** Repeats a call until it is answered or `onError` returns a value. Answers of an older owner are dropped. */
    callUntilAnswered<T extends { fencing: number; }, Fallback = never>(
        call: (connection: TrainerConnection) => Promise<T>,
        onError?: (code: string) => Fallback | undefined,
    ): Promise<T | Fallback>;
    highestFencing(): number;
}

/** Creates the calling side of a test trainer. */
export function createTestCaller(options: CallerOptions, report: TestTrainerReport): TestCaller {
    const { clock, random } = options;
    let highestFencing = 0;

    /** Sends one call on the current connection; rejects if there is none, or the answer is lost or late. */
    async function callOnce<T>(call: (connection: TrainerConnection) => Promise<T>): Promise<T> {
        const route = options.connect();
        if (route === undefined) {
            throw new ResultError(resultCodes.peerUnreachable);
        }
        const timeout = clock.sleep(callTimeoutMs).then(() => {
            throw new ResultError(resultCodes.connectionBroken);
        });
        const answer = await Promise.race([call(route), timeout]);
        if (random.nextUnit() < options.loseAnswerChance()) {
            throw new ResultError(resultCodes.connectionBroken);
        }
        return answer;
    }

    async function callUntilAnswered<T extends { fencing: number; }, Fallback = never>(
        call: (connection: TrainerConnection) => Promise<T>,
        onError: (code: string) => Fallback | undefined = () => undefined,
    ): Promise<T | Fallback> {
        for (;;) {
            try {
                const answer = await callOnce(call);
                if (answer.fencing >= highestFencing) {
                    highestFencing = answer.fencing;
                    return answer;
                }
                report.droppedPages++;
            }
            catch (error) {
                report.retries++;
                const fallback = onError(codeOf(error).name);
                if (fallback !== undefined) {
                    return fallback;
                }
            }
            await clock.sleep(retryMs);
        }
    }

    return { callUntilAnswered, highestFencing: () => highestFencing };
}
