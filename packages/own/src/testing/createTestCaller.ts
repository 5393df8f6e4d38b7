import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { TestTrainerReport } from "./TestTrainerReport.js";
import type { TrainerRoute } from "./TrainerRoute.js";

const callTimeoutMs = 4_000;
const retryMs = 150;

interface CallerOptions {
    clock: Clock;
    random: Random;
    /** Where a call goes now; undefined if there is no way. */
    route: () => TrainerRoute | undefined;
    /** Share of calls whose answer is lost on the way back. */
    loseAnswerChance: () => number;
}

interface TestCaller {
    /** Calls until an answer is of use; `onError` may give one instead. Answers of an older owner are dropped. */
    persist<T extends { fencing: number; }, Instead = never>(
        call: (route: TrainerRoute) => Promise<T>,
        onError?: (code: string) => Instead | undefined,
    ): Promise<T | Instead>;
    highestFencing(): number;
}

/** Makes the calling side of a test trainer. */
export function createTestCaller(options: CallerOptions, report: TestTrainerReport): TestCaller {
    const { clock, random } = options;
    let highestFencing = 0;

    /** One call to whoever the route leads to; rejects if the answer is lost, late or from nobody. */
    async function callOnce<T>(call: (route: TrainerRoute) => Promise<T>): Promise<T> {
        const route = options.route();
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

    async function persist<T extends { fencing: number; }, Instead = never>(
        call: (route: TrainerRoute) => Promise<T>,
        onError: (code: string) => Instead | undefined = () => undefined,
    ): Promise<T | Instead> {
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
                const instead = onError(codeOf(error).name);
                if (instead !== undefined) {
                    return instead;
                }
            }
            await clock.sleep(retryMs);
        }
    }

    return { persist, highestFencing: () => highestFencing };
}
