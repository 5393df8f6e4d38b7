import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { RunnerCaller } from "./RunnerCaller.js";
import type { RunnerRedirect } from "./RunnerRedirect.js";

interface RunnerCallerDeps {
    /** Name of this process, which is never asked itself; it also distributes the processes over the runners. */
    self: string;
    runners: () => ReadonlyMap<string, RunnerAddress> | undefined;
    clock: Clock;
    logger: Logger;
}

/**
 * A runner that did not answer is avoided for this long, about the time in which its peers notice a crash and take over
 * its jobs.
 */
const avoidMs = 2_000;
/** The first runner, the one it redirects to, and another one if the feeding runner has just changed. */
const maxHops = 3;

function isRedirect<T extends { kind: string; }>(answer: T): answer is Extract<T, RunnerRedirect> {
    return answer.kind === "elsewhere";
}

/** Creates the caller of one process; a runner that did not answer is avoided for all queries. */
export function createRunnerCaller(deps: RunnerCallerDeps): RunnerCaller {
    const { clock, logger, self } = deps;
    const avoidedUntilMs = new Map<string, number>();

    const isAvoided = (runner: string): boolean => (avoidedUntilMs.get(runner) ?? 0) > clock.monotonicMs();

    function chooseFirst(known: string | undefined, usable: string[]): string | undefined {
        return known !== undefined && usable.includes(known)
            ? known
            : rankByRendezvous(self, usable, runner => runner)[0];
    }

    function recordSilence(runner: string, error: unknown): void {
        avoidedUntilMs.set(runner, clock.monotonicMs() + avoidMs);
        logger.info("runnerSilent", { runner, avoidMs, detail: String(error) });
    }

    async function sendTo<T>(runner: string, send: () => Promise<T>): Promise<T | undefined> {
        try {
            return await send();
        }
        catch (error) {
            recordSilence(runner, error);
            return undefined;
        }
    }

    return {
        listSilent: () => [...avoidedUntilMs.keys()].filter(isAvoided),
        ask: async (first, send, excluded = []) => {
            const runners = deps.runners() ?? new Map<string, RunnerAddress>();
            const isUsable = (runner: string): boolean =>
                runner !== self && !isAvoided(runner) && !excluded.includes(runner);
            let runner = chooseFirst(first, [...runners.keys()].filter(isUsable));
            for (let hop = 0; hop < maxHops && runner !== undefined; hop++) {
                const asked = runner;
                const address = runners.get(asked);
                if (address === undefined || !isUsable(asked)) {
                    return undefined;
                }
                const answer = await sendTo(asked, () => send(address, asked));
                if (answer === undefined) {
                    return undefined;
                }
                if (!isRedirect(answer)) {
                    return { runner: asked, answer: answer as Exclude<typeof answer, RunnerRedirect> };
                }
                runner = answer.runner;
            }
            return undefined;
        },
    };
}
