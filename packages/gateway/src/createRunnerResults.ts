import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { LotId } from "@auburnarch/lots/LotId";
import type { ResultsAnswer } from "@auburnarch/lots/ResultsAnswer";
import type { ResultsSource } from "@auburnarch/lots/ResultsSource";
import type { RunnerCaller } from "@auburnarch/peers/RunnerCaller";

interface RunnerResultsDeps {
    caller: RunnerCaller;
    /** Rejects if the runner does not answer in time. */
    send: (
        address: RunnerAddress,
        query: { lot: LotId; fromChunk: number; waitMs: number; },
        timeoutMs: number,
    ) => Promise<ResultsAnswer>;
}

/** Beyond the wait of a question; an answer takes a few milliseconds between failure domains. */
const answerSlackMs = 300;
/** Jobs whose runner is remembered. */
const maxRemembered = 256;

/** Asks runners for results: any of them for a job not seen yet, which then names the one that has it. */
export function createRunnerResults(deps: RunnerResultsDeps): ResultsSource {
    const holders = new Map<LotId, string>();

    function remember(lot: LotId, runner: string): void {
        holders.set(lot, runner);
        if (holders.size > maxRemembered) {
            holders.delete(holders.keys().next().value!);
        }
    }

    return async (lot, fromChunk, waitMs) => {
        const found = await deps.caller.ask(
            holders.get(lot),
            address => deps.send(address, { lot, fromChunk, waitMs }, waitMs + answerSlackMs),
        );
        holders.delete(lot);
        if (found?.answer.kind !== "known") {
            return undefined;
        }
        remember(lot, found.runner);
        const { total, team, chunks, hasMore } = found.answer;
        return { total, team, chunks, hasMore };
    };
}
