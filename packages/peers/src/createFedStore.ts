import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedHub } from "./FeedHub.js";
import type { FeedQuery } from "./FeedQuery.js";
import type { RunnerCaller } from "./RunnerCaller.js";

interface FedStoreDeps {
    /** The store itself. */
    inner: ObjectStore;
    /** The hub of this process; none in a gateway. */
    hub: () => Pick<FeedHub, "answer"> | undefined;
    caller: RunnerCaller;
    /** Rejects if the runner does not answer in time. */
    send: (address: RunnerAddress, query: FeedQuery, timeoutMs: number) => Promise<FeedAnswer>;
    clock: Clock;
}

type Told = Extract<FeedAnswer, { kind: "listed" | "changed"; }>;

/**
 * Longest wait of one question. A runner that falls silent hides changes for this long and the slack; they are due
 * within two seconds.
 */
const waitLimitMs = 800;
/** Beyond the wait; an answer takes a few milliseconds between failure domains. */
const answerSlackMs = 300;
/** Without a runner that can tell, the store is asked for this long before runners are asked again. */
const pauseMs = 1_000;
/** Prefixes that are followed at the store itself for now; more than there are kinds. */
const maxDirect = 64;

/** The store, with lists and watches answered by the runner that follows it for all, wherever one can tell. */
export function createFedStore(deps: FedStoreDeps): ObjectStore {
    const { inner, clock, caller } = deps;
    let feeder: string | undefined;
    let directUntilMs = -Infinity;
    const direct = new Set<string>();

    async function askRunners(query: FeedQuery): Promise<FeedAnswer | undefined> {
        const found = await caller.ask(
            feeder,
            address => deps.send(address, query, query.waitMs + answerSlackMs),
        );
        feeder = found?.runner;
        return found?.answer;
    }

    async function ask(query: FeedQuery): Promise<Told | undefined> {
        if (clock.monotonicMs() < directUntilMs) {
            return undefined;
        }
        const own = await deps.hub()?.answer(query);
        feeder = own?.kind === "elsewhere" ? own.runner : feeder;
        const answer = own === undefined || own.kind === "elsewhere" ? await askRunners(query) : own;
        if (answer?.kind === "listed" || answer?.kind === "changed") {
            direct.delete(query.prefix);
            return answer;
        }
        directUntilMs = clock.monotonicMs() + pauseMs;
        return undefined;
    }

    function noteDirect(prefix: string): void {
        if (direct.size >= maxDirect) {
            direct.clear();
        }
        direct.add(prefix);
    }

    /**
     * Runners fall silent on the store where it forgets its history, and a watch on an old revision may then hear
     * nothing for its whole wait. So the first look at the store itself is a list, and the watches after it are short.
     */
    async function watchStore(
        prefix: string,
        since: ObjectVersion,
        waitMs: number,
    ): ReturnType<ObjectStore["watch"]> {
        if (direct.has(prefix)) {
            return inner.watch(prefix, since, Math.min(waitMs, pauseMs));
        }
        const { objects, revision } = await inner.list(prefix);
        noteDirect(prefix);
        return { changes: objects, revision, relisted: true };
    }

    return {
        ...inner,
        list: async prefix => {
            const told = await ask({ prefix, waitMs: waitLimitMs });
            if (told?.kind === "listed") {
                return told;
            }
            const found = await inner.list(prefix);
            noteDirect(prefix);
            return found;
        },
        watch: async (prefix, since, waitMs) => {
            const told = await ask({ prefix, since, waitMs: Math.min(waitMs, waitLimitMs) });
            if (told === undefined) {
                return watchStore(prefix, since, waitMs);
            }
            return told.kind === "changed"
                ? { changes: told.changes, revision: told.revision }
                : { changes: told.objects, revision: told.revision, relisted: true };
        },
    };
}
