import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createKindCopy } from "./createKindCopy.js";
import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedHub } from "./FeedHub.js";
import type { FeedQuery } from "./FeedQuery.js";
import type { KindCopy } from "./KindCopy.js";

interface FeedHubDeps {
    self: string;
    /** The runner that, as seen here, feeds processes that cannot use the `avoided` ones; undefined without one. */
    feeder: (avoided?: readonly string[]) => string | undefined;
    store: Pick<ObjectStore, "list" | "watch">;
    /** Delay after a change of a kind, so that changes close together cost one call to the store. */
    coalesceMsOf: (prefix: string) => number;
    /** Longest wait of a watch of a kind; by default `followWaitMs`. */
    waitMsOf?: (prefix: string) => number | undefined;
    /** Milliseconds since the store last answered this process. */
    sinceStoreAnswerMs: () => number;
    /** Milliseconds since the latest outage of the store; undefined if this runner knows of none. */
    sinceOutageMs: () => number | undefined;
    clock: Clock;
    logger: Logger;
}

interface FollowedKind {
    copy: KindCopy;
    waitMs: number;
    lastQueryAtMs: number;
    /** Time until which the kind is followed although another runner feeds. */
    followedUntilMs: number;
}

/** Longest wait of a watch, as without a feed; a broken connection is noticed once a watch is overdue. */
const followWaitMs = 3_500;
/** Delay of a watch beyond its wait after which its kind counts as out of date. */
const overdueMs = 1_000;
/**
 * A store that has not answered for this long may have changed without this process knowing. Changes are due on all
 * machines two seconds after the store accepted them; half of that is left for processes that then ask the store.
 */
const maxStoreSilenceMs = 1_000;
const checkMs = 200;
/** A kind without queries is followed for this long, which exceeds any wait of a query. */
const idleFollowMs = 15_000;
/** The same if another runner feeds and only processes that can't reach it ask here; covers several queries. */
const substituteFollowMs = 3_000;

const kindOf = (prefix: string): string => prefix.slice(0, prefix.indexOf("/") + 1);

/**
 * Creates the feed hub of a runner. One process follows the store and the others follow that process, so that calls to
 * the store do not grow with the number of processes. Once the store has not answered for a second, the hub is unsure
 * and processes query another runner or the store, so that a disconnected hub does not hide changes for long.
 */
export function createFeedHub(deps: FeedHubDeps): FeedHub {
    const { clock, logger, self, store } = deps;
    const kinds = new Map<string, FollowedKind>();
    let isStopped = false;

    const isStoreAnswering = (): boolean => deps.sinceStoreAnswerMs() < maxStoreSilenceMs;
    const isFresh = ({ copy, waitMs }: FollowedKind): boolean =>
        isStoreAnswering() && copy.ageMs() < waitMs + overdueMs;

    function follow(prefix: string): FollowedKind {
        const waitMs = deps.waitMsOf?.(prefix) ?? followWaitMs;
        const copy = createKindCopy({
            store,
            clock,
            prefix,
            waitMs,
            coalesceMs: deps.coalesceMsOf(prefix),
        });
        const kind = { copy, waitMs, lastQueryAtMs: clock.monotonicMs(), followedUntilMs: -Infinity };
        kinds.set(prefix, kind);
        logger.info("feedStarted", { kind: prefix });
        return kind;
    }

    function drop(prefix: string, { copy }: FollowedKind): void {
        copy.stop();
        kinds.delete(prefix);
        logger.info("feedEnded", { kind: prefix });
    }

    /** Stops following kinds without queries, and ends waiting queries once a copy may be out of date. */
    function check(): void {
        const nowMs = clock.monotonicMs();
        const isFeeding = deps.feeder() === self;
        for (const [prefix, kind] of kinds) {
            const isWanted = isFeeding
                ? nowMs - kind.lastQueryAtMs < idleFollowMs
                : nowMs < kind.followedUntilMs;
            if (!isWanted) {
                drop(prefix, kind);
            }
            else if (!isFresh(kind)) {
                kind.copy.wakeWaiters();
            }
        }
        cancelCheck = clock.startTimer(checkMs, check);
    }

    let cancelCheck = clock.startTimer(checkMs, check);

    /** A change may concern other objects of the kind; the query ends anyway, since the revision advances. */
    async function waitForChange(kind: FollowedKind, { since, waitMs }: FeedQuery): Promise<void> {
        const { copy } = kind;
        const untilMs = clock.monotonicMs() + waitMs;
        while (!copy.hasChanges(since) && isFresh(kind) && !isStopped && clock.monotonicMs() < untilMs) {
            await clock.sleep(untilMs - clock.monotonicMs(), copy.nextChange());
        }
    }

    async function answerQuery(query: FeedQuery): Promise<FeedAnswer> {
        const runner = deps.feeder(query.avoided);
        if (runner !== undefined && runner !== self) {
            return { kind: "elsewhere", runner };
        }
        if (runner === undefined || isStopped || !isStoreAnswering()) {
            return { kind: "unsure" };
        }
        const prefix = kindOf(query.prefix);
        const kind = kinds.get(prefix) ?? follow(prefix);
        kind.lastQueryAtMs = clock.monotonicMs();
        if (deps.feeder() !== self) {
            kind.followedUntilMs = clock.monotonicMs() + substituteFollowMs;
        }
        await waitForChange(kind, query);
        return isFresh(kind) ? kind.copy.answer(query) : { kind: "unsure" };
    }

    return {
        answer: async query => {
            const answer = await answerQuery(query);
            const sinceOutageMs = deps.sinceOutageMs();
            return sinceOutageMs === undefined || answer.kind === "elsewhere"
                ? answer
                : { ...answer, sinceOutageMs };
        },
        stop: () => {
            isStopped = true;
            cancelCheck();
            kinds.forEach((kind, prefix) => drop(prefix, kind));
        },
    };
}
