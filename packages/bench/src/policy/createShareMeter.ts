import type { Clock } from "@auburnarch/types/Clock";
import type { createTrainerLoop } from "./createTrainerLoop.js";
import type { EngineMeter } from "./EngineMeter.js";
import { policyOf } from "./policyOf.js";
import type { Scenario } from "./Scenario.js";

/** Compares the engine time of each team with its guaranteed share while it has demand. */
interface ShareMeter {
    /** Largest shortfall of a team as a fraction of its share; 0 if no team had demand. */
    error(): number;
    stop(): void;
}

const windowMs = 1_000;

/** Starts the meter. A team has demand in a window if its pending samples could fill its share of all batch slots. */
export function createShareMeter(
    scenario: Scenario,
    clock: Clock,
    meter: EngineMeter,
    loops: ReturnType<typeof createTrainerLoop>[],
): ShareMeter {
    const teams = [...new Set(scenario.jobs.map(job => job.team))];
    const batchSlots = scenario.samplers.reduce((sum, group) => sum + group.count * group.maxBatch, 0);
    const totals = new Map(teams.map(team => [team, { usedMs: 0, dueMs: 0 }]));
    let before = new Map<string, number>();
    let cancel = (): void => {};

    const shareOf = (team: string): number => scenario.shares[team] ?? 0;
    const hasDemand = (team: string): boolean => {
        const pending = loops
            .filter(loop => loop.measures.team === team)
            .reduce((sum, loop) => sum + loop.countPending(), 0);
        return pending >= Math.max(1, shareOf(team) * batchSlots);
    };
    const ownersOf = (team: string): string[] => [
        ...scenario.jobs.filter(job => job.team === team).map(job => policyOf(job.job)),
        ...(scenario.interactive?.team === team ? ["interactive"] : []),
    ];
    const usedBy = (team: string, used: ReadonlyMap<string, number>): number =>
        ownersOf(team).reduce((sum, owner) => sum + (used.get(owner) ?? 0), 0);

    let demanding = new Set<string>();
    function closeWindow(): void {
        const used = new Map(meter.read().engineMsOf);
        const sum = (of: ReadonlyMap<string, number>): number => [...of.values()].reduce((a, b) => a + b, 0);
        const windowTotal = sum(used) - sum(before);
        for (const team of teams.filter(name => demanding.has(name) && hasDemand(name))) {
            const total = totals.get(team)!;
            total.usedMs += usedBy(team, used) - usedBy(team, before);
            total.dueMs += shareOf(team) * windowTotal;
        }
        before = used;
        demanding = new Set(teams.filter(hasDemand));
        cancel = clock.startTimer(windowMs, closeWindow);
    }

    closeWindow();
    return {
        error: () =>
            Math.max(
                0,
                ...[...totals.values()].map(({ usedMs: got, dueMs: due }) =>
                    due === 0 ? 0 : (due - got) / due
                ),
            ),
        stop: () => cancel(),
    };
}
