import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { LotId } from "@auburnarch/lots/LotId";
import type { ResultsAnswer } from "@auburnarch/lots/ResultsAnswer";
import type { ResultsSource } from "@auburnarch/lots/ResultsSource";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

interface RunnerResultsDeps {
    /** Own name: gateways spread their questions over the runners by it. */
    self: string;
    runners: () => ReadonlyMap<string, RunnerAddress> | undefined;
    /** Rejects if the runner does not answer in time. */
    ask: (
        address: RunnerAddress,
        query: { lot: LotId; fromChunk: number; waitMs: number; },
        timeoutMs: number,
    ) => Promise<ResultsAnswer>;
    clock: Clock;
    logger: Logger;
}

/** Beyond the wait of a question; an answer takes a few milliseconds between failure domains. */
const answerSlackMs = 300;
/** A runner that did not answer is passed over for this long: about the time in which its peers take its jobs over. */
const avoidMs = 2_000;
/** The runner asked first, the one that it names, and one more if the job has just moved on. */
const maxHops = 3;
/** Jobs whose runner is remembered. */
const maxRemembered = 256;

/** Asks runners for results: any of them for a job not seen yet, which then names the one that runs it. */
export function createRunnerResults(deps: RunnerResultsDeps): ResultsSource {
    const { clock, logger } = deps;
    const holders = new Map<LotId, string>();
    const avoidedUntilMs = new Map<string, number>();

    const isAvoided = (runner: string): boolean => (avoidedUntilMs.get(runner) ?? 0) > clock.monotonicMs();

    function chooseFirst(lot: LotId, runners: ReadonlyMap<string, RunnerAddress>): string | undefined {
        const known = holders.get(lot);
        if (known !== undefined && runners.has(known) && !isAvoided(known)) {
            return known;
        }
        const usable = [...runners.keys()].filter(runner => !isAvoided(runner));
        return rankByRendezvous(deps.self, usable, runner => runner)[0];
    }

    function remember(lot: LotId, runner: string): void {
        holders.delete(lot);
        holders.set(lot, runner);
        if (holders.size > maxRemembered) {
            holders.delete(holders.keys().next().value!);
        }
    }

    function noteSilence(lot: LotId, runner: string, error: unknown): void {
        avoidedUntilMs.set(runner, clock.monotonicMs() + avoidMs);
        holders.delete(lot);
        logger.info("runnerSilent", { runner, lot, detail: String(error) });
    }

    return async (lot, fromChunk, waitMs) => {
        const runners = deps.runners() ?? new Map<string, RunnerAddress>();
        let runner = chooseFirst(lot, runners);
        for (let hop = 0; hop < maxHops && runner !== undefined; hop++) {
            const address = runners.get(runner);
            if (address === undefined || isAvoided(runner)) {
                return undefined;
            }
            let answer: ResultsAnswer;
            try {
                answer = await deps.ask(address, { lot, fromChunk, waitMs }, waitMs + answerSlackMs);
            }
            catch (error) {
                noteSilence(lot, runner, error);
                return undefined;
            }
            if (answer.kind === "known") {
                remember(lot, runner);
                return { total: answer.total, chunks: answer.chunks };
            }
            holders.delete(lot);
            runner = answer.kind === "elsewhere" ? answer.runner : undefined;
        }
        return undefined;
    };
}
