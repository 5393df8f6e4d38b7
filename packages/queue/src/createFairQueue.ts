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

interface TeamLine<Item> {
    items: Item[];
    running: number;
    /** Engine time charged, divided by the share: the team with the least runs next. */
    virtualMs: number;
}

const interactivePriority = 100;
/** Weight of a team without a share of its own: it gets what the others leave. */
const leastShare = 0.001;
/** An item that has waited this long goes first within its team, so that no priority starves another. */
const agingMs = 60_000;

/**
 * Work-conserving weighted fair queue over teams' engine time: start-time fair queueing whose costs are corrected
 * afterwards. Interactive items go first and are charged to their team like any other. A team that comes back
 * from idleness starts level with the teams at work: its unused share was lent and is called back from then on,
 * never saved up.
 */
export function createFairQueue<Item extends FairItem>(deps: FairQueueDeps): FairQueue<Item> {
    const lines = new Map<string, TeamLine<Item>>();
    let waiting = 0;
    let running = 0;

    const weightOf = (team: string): number => Math.max(leastShare, deps.share(team));
    const isActive = (line: TeamLine<Item>): boolean => line.items.length > 0 || line.running > 0;

    function levelMs(): number {
        let least = Number.POSITIVE_INFINITY;
        for (const line of lines.values()) {
            if (isActive(line)) {
                least = Math.min(least, line.virtualMs);
            }
        }
        return least === Number.POSITIVE_INFINITY ? 0 : least;
    }

    function activeLineOf(team: string): TeamLine<Item> {
        const present = lines.get(team);
        if (present === undefined) {
            const fresh: TeamLine<Item> = { items: [], running: 0, virtualMs: levelMs() };
            lines.set(team, fresh);
            return fresh;
        }
        if (!isActive(present)) {
            present.virtualMs = Math.max(present.virtualMs, levelMs());
        }
        return present;
    }

    function rank(item: Item): number {
        const aged = deps.nowMs() - item.queuedAtMs >= agingMs;
        return aged ? Math.max(item.priority, interactivePriority - 1) : item.priority;
    }

    function choose(line: TeamLine<Item>, mayRun: (item: Item) => boolean): Item | undefined {
        let best: Item | undefined;
        for (const item of line.items) {
            if (mayRun(item) && (best === undefined || rank(item) > rank(best))) {
                best = item;
            }
        }
        return best;
    }

    function start(item: Item, line: TeamLine<Item>): void {
        line.running++;
        running++;
        line.virtualMs += item.costMs / weightOf(item.team);
    }

    function pop(mayRun: (item: Item) => boolean): Item | undefined {
        let best: Item | undefined;
        let bestLine: TeamLine<Item> | undefined;
        for (const line of lines.values()) {
            const item = line.items.length === 0 ? undefined : choose(line, mayRun);
            if (item !== undefined && (bestLine === undefined || comesBefore(item, line, best!, bestLine))) {
                best = item;
                bestLine = line;
            }
        }
        if (best !== undefined && bestLine !== undefined) {
            bestLine.items.splice(bestLine.items.indexOf(best), 1);
            waiting--;
            start(best, bestLine);
        }
        return best;
    }

    function comesBefore(item: Item, line: TeamLine<Item>, other: Item, otherLine: TeamLine<Item>): boolean {
        const interactive = item.priority >= interactivePriority;
        if (interactive !== other.priority >= interactivePriority) {
            return interactive;
        }
        return line.virtualMs < otherLine.virtualMs;
    }

    /** With nobody at work there is nothing to be level with: earlier use must not count against anyone. */
    function forgetIfIdle(): void {
        if (waiting === 0 && running === 0) {
            lines.clear();
        }
    }

    return {
        push: item => {
            activeLineOf(item.team).items.push(item);
            waiting++;
        },
        pop,
        charge: item => start(item, activeLineOf(item.team)),
        remove: item => {
            const line = lines.get(item.team);
            const at = line?.items.indexOf(item) ?? -1;
            if (line === undefined || at < 0) {
                return false;
            }
            line.items.splice(at, 1);
            waiting--;
            forgetIfIdle();
            return true;
        },
        settle: (item, engineMs) => {
            const line = lines.get(item.team)!;
            line.virtualMs += (engineMs - item.costMs) / weightOf(item.team);
            line.running--;
            running--;
            forgetIfIdle();
        },
        size: () => waiting,
        waitingOf: team => lines.get(team)?.items.length ?? 0,
        items: () => [...lines.values()].flatMap(line => line.items),
    };
}
