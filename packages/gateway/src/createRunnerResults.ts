import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";
import type { ResultsSource } from "@auburnarch/batches/ResultsSource";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { RunnerCaller } from "@auburnarch/feeds/RunnerCaller";

interface RunnerResultsDeps {
    caller: RunnerCaller;
    /** Queries a runner; rejects if it does not answer in time. */
    send: (
        address: RunnerAddress,
        query: { lot: BatchJobId; fromChunk: number; waitMs: number; },
        timeoutMs: number,
    ) => Promise<ResultsAnswer>;
}

/** Time for an answer beyond the wait of the query; the round trip between failure domains takes a few milliseconds. */
const answerGraceMs = 300;
/** Number of batch jobs whose runner is cached. */
const maxCachedRunners = 256;

/** Queries runners for results: for an unknown batch job any runner, which then names the one that runs the job. */
export function createRunnerResults(deps: RunnerResultsDeps): ResultsSource {
    const runnerByBatchJob = new Map<BatchJobId, string>();

    function cacheRunner(batchJobId: BatchJobId, runner: string): void {
        runnerByBatchJob.set(batchJobId, runner);
        if (runnerByBatchJob.size > maxCachedRunners) {
            runnerByBatchJob.delete(runnerByBatchJob.keys().next().value!);
        }
    }

    return async (batchJobId, fromChunk, waitMs) => {
        const found = await deps.caller.ask(
            runnerByBatchJob.get(batchJobId),
            address => deps.send(address, { lot: batchJobId, fromChunk, waitMs }, waitMs + answerGraceMs),
        );
        runnerByBatchJob.delete(batchJobId);
        if (found?.answer.kind !== "known") {
            return undefined;
        }
        cacheRunner(batchJobId, found.runner);
        const { total, team, chunks, hasMore } = found.answer;
        return { total, team, chunks, hasMore };
    };
}
