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

interface FairQueueDeps {
    /** Share of engine time guaranteed to a team, 0 to 1. */
    share: (team: string) => number;
    nowMs: () => number;
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
    size(): number;
    waitingOf(team: string): number;
    items(): Item[];
}

interface TeamQueue<Item> {
    items: Item[];
    running: number;
    /** Charged engine time divided by the share; the team with the lowest value runs next. */
    virtualMs: number;
}

const interactivePriority = 100;
/** Weight of a team without a share, which only gets engine time that the others leave unused. */
const minShare = 0.001;
/** After this wait an item precedes its team's other non-interactive items, so that no priority starves another. */
const agingDelayMs = 60_000;

/**
 * Creates a work-conserving weighted fair queue of the teams' engine time: start-time fair queueing whose costs are
 * corrected afterwards. Interactive items run first and are charged to their team like any other. A team that becomes
 * active again starts at the lowest virtual time of the active teams: it gets its share from then on, without credit
 * for the time that it left unused.
 */
export function createFairQueue<Item extends FairItem>(deps: FairQueueDeps): FairQueue<Item> {
    const teamQueues = new Map<string, TeamQueue<Item>>();
    let waiting = 0;
    let running = 0;

    const weightOf = (team: string): number => Math.max(minShare, deps.share(team));
    const isActive = (teamQueue: TeamQueue<Item>): boolean =>
        teamQueue.items.length > 0 || teamQueue.running > 0;

    function minActiveVirtualMs(): number {
        let least = Number.POSITIVE_INFINITY;
        for (const teamQueue of teamQueues.values()) {
            if (isActive(teamQueue)) {
                least = Math.min(least, teamQueue.virtualMs);
            }
        }
        return least === Number.POSITIVE_INFINITY ? 0 : least;
    }

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

    function selectItem(teamQueue: TeamQueue<Item>, mayRun: (item: Item) => boolean): Item | undefined {
        let best: Item | undefined;
        for (const item of teamQueue.items) {
            if (mayRun(item) && (best === undefined || rank(item) > rank(best))) {
                best = item;
            }
        }
        return best;
    }

    function start(item: Item, teamQueue: TeamQueue<Item>): void {
        teamQueue.running++;
        running++;
        teamQueue.virtualMs += item.costMs / weightOf(item.team);
    }

    function pop(mayRun: (item: Item) => boolean): Item | undefined {
        let best: Item | undefined;
        let bestQueue: TeamQueue<Item> | undefined;
        for (const teamQueue of teamQueues.values()) {
            const item = teamQueue.items.length === 0 ? undefined : selectItem(teamQueue, mayRun);
            if (
                item !== undefined
                && (bestQueue === undefined || comesBefore(item, teamQueue, best!, bestQueue))
            ) {
                best = item;
                bestQueue = teamQueue;
            }
        }
        if (best !== undefined && bestQueue !== undefined) {
            bestQueue.items.splice(bestQueue.items.indexOf(best), 1);
            waiting--;
            start(best, bestQueue);
        }
        return best;
    }

    function comesBefore(
        item: Item,
        teamQueue: TeamQueue<Item>,
        other: Item,
        otherQueue: TeamQueue<Item>,
    ): boolean {
        const interactive = item.priority >= interactivePriority;
        if (interactive !== other.priority >= interactivePriority) {
            return interactive;
        }
        return teamQueue.virtualMs < otherQueue.virtualMs;
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
        size: () => waiting,
        waitingOf: team => teamQueues.get(team)?.items.length ?? 0,
        items: () => [...teamQueues.values()].flatMap(teamQueue => teamQueue.items),
    };
}
