import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import { answersPromptly } from "./answersPromptly.js";
import { chooseStoreRelay } from "./chooseStoreRelay.js";
import { firstMatch } from "./firstMatch.js";
import { isStoreDoubtful } from "./isStoreDoubtful.js";
import type { RelayCandidate } from "./RelayCandidate.js";
import type { StoreReach } from "./StoreReach.js";
import type { StoreRelays } from "./StoreRelays.js";

/** What a runner reports about itself. */
interface RelayReport {
    reach: StoreReach;
    isLeaving: boolean;
}

interface StoreRelaysDeps {
    self: string;
    runners: () => ReadonlyMap<string, RunnerAddress> | undefined;
    /** Asks a runner how it reaches the store; rejects if it does not answer in time. */
    askReport: (address: RunnerAddress, timeoutMs: number) => Promise<RelayReport>;
    /** How this process reaches the store by its own calls. */
    reach: () => StoreReach;
    clock: Clock;
    logger: Logger;
}

/** A loss that no call of the process shows in time is noticed after this time more than `suspectAfterMs`. */
const checkMs = 50;
const reportIntervalMs = 400;
/** A runner on a busy VM may need this long to answer. The first call after a loss does not wait for it if another one answers. */
const reportTimeoutMs = 300;
/** Number of runners asked at once; if the store answers none of them, the next ones are asked. */
const askedAtOnce = 3;
const maxConfirmationAgeMs = 1_000;
/** After a look-up without a result no other one is made for this long. */
const lookUpPauseMs = 200;

/**
 * Creates the record of one process's relays. Runners are asked only while this process's own calls do not reach the
 * store; a report is then requested every 400 ms, since it stands for the relayed calls of a process that makes few.
 */
export function createStoreRelays(deps: StoreRelaysDeps): StoreRelays {
    const { clock, logger, self } = deps;
    const reports = new Map<string, RelayReport & { atMs: number; }>();
    const excludedUntilMs = new Map<string, number>();
    let current: string | undefined;
    let confirmedAtMs = -Infinity;
    let lookedUpAtMs = -Infinity;
    let running: Promise<void> | undefined;
    /** Number of runners that were asked since one could relay. */
    let asked = 0;
    let isNotFoundLogged = false;

    const isExcluded = (name: string): boolean => (excludedUntilMs.get(name) ?? 0) > clock.monotonicMs();
    const isUsable = (): boolean =>
        current !== undefined && clock.monotonicMs() - confirmedAtMs < maxConfirmationAgeMs;

    function setCurrent(next: string | undefined, reason: string): void {
        if (next === current) {
            return;
        }
        if (current !== undefined) {
            logger.info("storeRelayLost", { via: current, reason });
        }
        if (next !== undefined) {
            const { silentMs, unansweredMs } = deps.reach();
            logger.info("storeRelayChosen", {
                via: next,
                silentMs: Math.round(silentMs),
                unansweredMs: Math.round(unansweredMs),
            });
        }
        current = next;
    }

    async function ask(name: string, address: RunnerAddress): Promise<void> {
        try {
            const report = await deps.askReport(address, reportTimeoutMs);
            reports.set(name, { ...report, atMs: clock.monotonicMs() });
        }
        catch {
            reports.delete(name);
        }
    }

    function listToAsk(names: string[]): string[] {
        const others = rankByRendezvous(self, names.filter(name => name !== current), name => name);
        const start = others.length === 0 ? 0 : asked % others.length;
        const rotated = [...others.slice(start), ...others.slice(0, start)];
        return [...current === undefined ? [] : [current], ...rotated].slice(0, askedAtOnce);
    }

    function describe(name: string): RelayCandidate {
        const report = reports.get(name);
        return {
            name,
            reach: report?.reach,
            isLeaving: report?.isLeaving === true,
            reportAgeMs: clock.monotonicMs() - (report?.atMs ?? -Infinity),
            isExcluded: isExcluded(name),
        };
    }

    /** Logs the first look-up without a result after one with a result, so that slow peers can be told from none. */
    function logNotFound(names: string[], sinceMs: number): void {
        if (!isNotFoundLogged) {
            const answered = names.filter(name => (reports.get(name)?.atMs ?? -Infinity) >= sinceMs).length;
            logger.warn("storeRelayNotFound", { asked: names.join(","), answered });
        }
        isNotFoundLogged = true;
    }

    async function lookUp(): Promise<void> {
        const runners = deps.runners() ?? new Map<string, RunnerAddress>();
        const names = [...runners.keys()].filter(name => name !== self && !isExcluded(name));
        const toAsk = listToAsk(names);
        const choose = (): string | undefined => chooseStoreRelay(self, current, names.map(describe));
        const startedAtMs = clock.monotonicMs();
        const answers = toAsk.map(name => ask(name, runners.get(name)!));
        await firstMatch(answers, () => {
            const name = choose();
            return name !== undefined && reports.get(name)!.atMs >= startedAtMs
                && (name === current || answersPromptly(describe(name)));
        });
        lookedUpAtMs = clock.monotonicMs();
        const chosen = choose();
        if (chosen === undefined) {
            asked += toAsk.length;
            logNotFound(toAsk, startedAtMs);
        }
        else {
            isNotFoundLogged = false;
            confirmedAtMs = Math.max(confirmedAtMs, reports.get(chosen)!.atMs);
        }
        setCurrent(chosen, "noLongerAnswered");
    }

    function lookUpOnce(): Promise<void> {
        running ??= lookUp().finally(() => {
            running = undefined;
        });
        return running;
    }

    function check(): void {
        if (isStoreDoubtful(deps.reach())) {
            if (clock.monotonicMs() - lookedUpAtMs > reportIntervalMs) {
                void lookUpOnce();
            }
        }
        else if (running === undefined) {
            setCurrent(undefined, "storeAnswers");
        }
        clock.startTimer(checkMs, check);
    }

    clock.startTimer(checkMs, check);
    return {
        choose: async () => {
            if (!isUsable() && clock.monotonicMs() - lookedUpAtMs > lookUpPauseMs) {
                await lookUpOnce();
            }
            const address = current === undefined ? undefined : deps.runners()?.get(current);
            return current === undefined || address === undefined ? undefined : { name: current, address };
        },
        confirm: name => {
            if (name === current) {
                confirmedAtMs = clock.monotonicMs();
            }
        },
        drop: (name, excludeMs, reason) => {
            excludedUntilMs.set(name, clock.monotonicMs() + excludeMs);
            if (name === current) {
                setCurrent(undefined, reason);
                lookedUpAtMs = -Infinity;
            }
        },
        isUsable,
        sinceConfirmedMs: () => clock.monotonicMs() - confirmedAtMs,
    };
}
