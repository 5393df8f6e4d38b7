/** Something that waits for engine time. */
interface FairItem {
    team: string;
    /** 0 to 100; `interactivePriority` goes before everything else. */
    priority: number;
    /** Engine time it is expected to take; corrected by `settle` once known. */
    costMs: number;
    /** Monotonic time of its arrival. */
    queuedAtMs: number;
}

interface FairQueueDeps {
    /** Part of engine time guaranteed to a team, 0 to 1. */
    share: (team: string) => number;
    nowMs: () => number;
}

interface FairQueue<Item extends FairItem> {
    push(item: Item): void;
    /** Takes the item to run next among those that `mayRun` accepts, and charges its expected cost. */
    pop(mayRun: (item: Item) => boolean): Item | undefined;
    /** Charges an item that runs at once, without having waited. */
    charge(item: Item): void;
    /** Withdraws a waiting item; false if it is not waiting. */
    remove(item: Item): boolean;
    /** Replaces the expected cost of a popped or charged item by the engine time it took. Once an item. */
    settle(item: Item, engineMs: number): void;
    size(): number;
    waitingOf(team: string): number;
    items(): Item[];
}

interface TeamQueue<Item> {
    items: Item[];
    running: number;
    /** Engine time charged, divided by the share: the team with the least runs next. */
    virtualMs: number;
}

const interactivePriority = 100;
/** Weight of a team without a share of its own: it gets what the others leave. */
const minShare = 0.001;
/** An item that has waited this long goes first within its team, so that no priority starves another. */
const agingDelayMs = 60_000;

/**
 * Work-conserving weighted fair queue over teams' engine time: start-time fair queueing whose costs are corrected
 * afterwards. Interactive items go first and are charged to their team like any other. A team that comes back
 * from idleness starts level with the teams at work: its unused share was lent and is called back from then on,
 * never saved up.
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

    /** With nobody at work there is nothing to be level with: earlier use must not count against anyone. */
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
