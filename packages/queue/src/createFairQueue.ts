import type { Candidate } from "./Candidate.js";
import { countAhead } from "./countAhead.js";
import { findFirst } from "./findFirst.js";
import type { TeamQueue } from "./TeamQueue.js";

/** An item that waits for engine time. */
interface FairItem {
    team: string;
    /** 0 to 100; items of `interactivePriority` run before all others. */
    priority: number;
    /** Expected engine time; corrected by `settle` once the actual one is known. */
    costMs: number;
    /** Monotonic time of arrival. */
    queuedAtMs: number;
}

interface FairQueueDeps<Item> {
    /** Share of engine time guaranteed to a team, 0 to 1. */
    share: (team: string) => number;
    nowMs: () => number;
    /** Items of a higher class precede those of all teams in lower ones; by default interactive items come first. */
    classOf?: (item: Item) => number;
    /** Order of one team's items, negative if `a` runs first; by default by priority and age. */
    compareWithinTeam?: (a: Item, b: Item) => number;
    /**
     * A team that becomes active starts this much before the teams that have items running, so that it precedes their
     * next items; by default 0. One item's cost is enough if few items run at once.
     */
    runningCreditMs?: () => number;
    /** One in `everyStarts` starts goes to aged items of any class; by default none is reserved. */
    aging?: { isAged: (item: Item) => boolean; everyStarts: number; };
}

interface FairQueue<Item extends FairItem> {
    push(item: Item): void;
    /** Removes the next item to run among those that `mayRun` accepts and charges its expected cost. */
    pop(mayRun: (item: Item) => boolean): Item | undefined;
    /** Charges an item that runs at once without having waited. */
    charge(item: Item): void;
    /** Removes a waiting item; false if it is not waiting. */
    remove(item: Item): boolean;
    /** Replaces the expected cost of a popped or charged item by its actual engine time. Call once per item. */
    settle(item: Item, engineMs: number): void;
    /** Estimates how many waiting items would start before this one, from the expected costs. */
    aheadOf(item: Item): number;
    size(): number;
    waitingOf(team: string): number;
    items(): Item[];
}

const interactivePriority = 100;
/** Weight of a team without a share, which only gets engine time that the others leave unused. */
const minShare = 0.001;
/** After this wait an item precedes its team's other non-interactive items, so that no priority starves another. */
const agingDelayMs = 60_000;

const isActive = ({ items, running }: TeamQueue<unknown>): boolean => items.length > 0 || running > 0;

/** Virtual time from which a team that becomes active starts; 0 if none is active. */
function findMinVirtualMs(teamQueues: Iterable<TeamQueue<unknown>>, runningCreditMs: number): number {
    const starts = [...teamQueues].filter(isActive).map(({ running, virtualMs }) =>
        running > 0 ? virtualMs - runningCreditMs : virtualMs
    );
    return starts.length === 0 ? 0 : Math.min(...starts);
}

/**
 * Creates a work-conserving weighted fair queue of the teams' engine time: start-time fair queueing whose costs are
 * corrected afterwards. Interactive items run first and are charged to their team like any other. A team that becomes
 * active again starts at the lowest virtual time of the active teams: it gets its share from then on, without credit
 * for the time that it left unused.
 */
export function createFairQueue<Item extends FairItem>(deps: FairQueueDeps<Item>): FairQueue<Item> {
    const teamQueues = new Map<string, TeamQueue<Item>>();
    let waiting = 0;
    let running = 0;
    let startsUntilAged = deps.aging?.everyStarts ?? Number.POSITIVE_INFINITY;

    const isInteractive = (item: Item): number => Number(item.priority >= interactivePriority);
    const classOf = deps.classOf ?? isInteractive;
    const compareWithinTeam = deps.compareWithinTeam ?? ((a: Item, b: Item) => rank(b) - rank(a));
    const weightOf = (team: string): number => Math.max(minShare, deps.share(team));
    const minActiveVirtualMs = (): number =>
        findMinVirtualMs(teamQueues.values(), deps.runningCreditMs?.() ?? 0);

    function activeQueueOf(team: string): TeamQueue<Item> {
        const existing = teamQueues.get(team);
        if (existing === undefined) {
            const fresh: TeamQueue<Item> = { items: [], running: 0, virtualMs: minActiveVirtualMs() };
            teamQueues.set(team, fresh);
            return fresh;
        }
        if (!isActive(existing)) {
            existing.virtualMs = Math.max(existing.virtualMs, minActiveVirtualMs());
        }
        return existing;
    }

    function rank(item: Item): number {
        const aged = deps.nowMs() - item.queuedAtMs >= agingDelayMs;
        return aged ? Math.max(item.priority, interactivePriority - 1) : item.priority;
    }

    function start(item: Item, teamQueue: TeamQueue<Item>): void {
        teamQueue.running++;
        running++;
        teamQueue.virtualMs += item.costMs / weightOf(item.team);
    }

    function popBy(
        mayRun: (item: Item) => boolean,
        comesBefore: (a: Candidate<Item>, b: Candidate<Item>) => boolean,
    ): Item | undefined {
        const first = findFirst(teamQueues.values(), mayRun, compareWithinTeam, comesBefore);
        if (first !== undefined) {
            const { item, teamQueue } = first;
            teamQueue.items.splice(teamQueue.items.indexOf(item), 1);
            waiting--;
            start(item, teamQueue);
        }
        return first?.item;
    }

    const comesBeforeByTime = (a: Candidate<Item>, b: Candidate<Item>): boolean =>
        a.teamQueue.virtualMs < b.teamQueue.virtualMs;
    const comesBeforeByClass = (a: Candidate<Item>, b: Candidate<Item>): boolean =>
        classOf(a.item) === classOf(b.item)
            ? comesBeforeByTime(a, b)
            : classOf(a.item) > classOf(b.item);

    function popAged(mayRun: (item: Item) => boolean): Item | undefined {
        const { aging } = deps;
        return aging === undefined || startsUntilAged > 1
            ? undefined
            : popBy(item => aging.isAged(item) && mayRun(item), comesBeforeByTime);
    }

    function pop(mayRun: (item: Item) => boolean): Item | undefined {
        const aged = popAged(mayRun);
        if (aged !== undefined) {
            startsUntilAged = deps.aging!.everyStarts;
            return aged;
        }
        const item = popBy(mayRun, comesBeforeByClass);
        if (item !== undefined) {
            startsUntilAged = Math.max(1, startsUntilAged - 1);
        }
        return item;
    }

    function aheadOf(item: Item): number {
        const compareClass = (other: Item): number =>
            Number(classOf(other) > classOf(item)) - Number(classOf(other) < classOf(item));
        const count = (counts: (other: Item) => boolean, order: (other: Item) => number): number =>
            countAhead({
                teamQueues,
                item,
                counts,
                compareClass: order,
                compareWithinTeam,
                weightOf,
                minVirtualMs: minActiveVirtualMs(),
            });
        const byClass = count(() => true, compareClass);
        const { aging } = deps;
        if (aging === undefined || !aging.isAged(item)) {
            return byClass;
        }
        const agedAhead = count(aging.isAged, () => 0);
        return Math.min(byClass, startsUntilAged - 1 + agedAhead * aging.everyStarts);
    }

    /** Without an active team there is no virtual time to start from, and earlier use must not count against a team. */
    function resetIfIdle(): void {
        if (waiting === 0 && running === 0) {
            teamQueues.clear();
        }
    }

    return {
        push: item => {
            activeQueueOf(item.team).items.push(item);
            waiting++;
        },
        pop,
        charge: item => start(item, activeQueueOf(item.team)),
        remove: item => {
            const teamQueue = teamQueues.get(item.team);
            const at = teamQueue?.items.indexOf(item) ?? -1;
            if (teamQueue === undefined || at < 0) {
                return false;
            }
            teamQueue.items.splice(at, 1);
            waiting--;
            resetIfIdle();
            return true;
        },
        settle: (item, engineMs) => {
            const teamQueue = teamQueues.get(item.team)!;
            teamQueue.virtualMs += (engineMs - item.costMs) / weightOf(item.team);
            teamQueue.running--;
            running--;
            resetIfIdle();
        },
        aheadOf,
        size: () => waiting,
        waitingOf: team => teamQueues.get(team)?.items.length ?? 0,
        items: () => [...teamQueues.values()].flatMap(teamQueue => teamQueue.items),
    };
}
