import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { FeedAnswer } from "./FeedAnswer.js";
import type { FeedHub } from "./FeedHub.js";
import type { FeedQuery } from "./FeedQuery.js";
import type { OutageTracker } from "./OutageTracker.js";
import type { RunnerCaller } from "./RunnerCaller.js";

interface FeedBackedStoreDeps {
    /** Name of this process. */
    self: string;
    /** The store itself. */
    inner: ObjectStore;
    /** The hub of this process; none in a gateway. */
    hub: () => Pick<FeedHub, "answer"> | undefined;
    caller: RunnerCaller;
    /** Sends a query to a runner; rejects if it does not answer in time. */
    send: (address: RunnerAddress, query: FeedQuery, timeoutMs: number) => Promise<FeedAnswer>;
    /** Resolves once calls to the store succeed or have failed for long; true if they failed at first. */
    waitForStore: () => Promise<boolean>;
    /** Receives the runners' reports on outages. */
    outages: Pick<OutageTracker, "recordOutage" | "recordStoreUp">;
    clock: Clock;
}

type DataAnswer = Extract<FeedAnswer, { kind: "listed" | "changed"; }>;

/**
 * Longest wait of one query. A runner that stops answering hides changes for this time plus `answerSlackMs`, and
 * changes are due within two seconds.
 */
const maxWaitMs = 800;
/** Longest wait of a query to a second runner after the first did not answer, within the same two seconds. */
const secondWaitMs = 200;
/** Timeout of a query beyond its wait; an answer takes a few milliseconds between failure domains. */
const answerSlackMs = 300;
/** If no runner can answer, runners are asked again after this time, and then the store. */
const retryDelayMs = 600;
/** Longest wait of a watch on the store itself. */
const directWaitMs = 1_000;
/** A runner that was unsure is avoided for this long. */
const unsureMs = 1_000;
/** All processes reach a recovered store within this time of the first; the feeding runner needs an answer first. */
const recoveryDelayMs = 400;
/** Maximum of prefixes currently followed at the store itself; larger than the number of kinds. */
const maxFollowedDirectly = 64;

const isDataAnswer = (answer: FeedAnswer | undefined): answer is DataAnswer =>
    answer?.kind === "listed" || answer?.kind === "changed";

/**
 * Creates an object store whose lists and watches are answered by the runner that follows the store for all processes,
 * or by a second runner if that one does not answer or is unsure. If every process called the store instead, each short
 * failure of a runner and each outage would cost as many calls as there are processes and kinds.
 */
export function createFeedBackedStore(deps: FeedBackedStoreDeps): ObjectStore {
    const { inner, clock, caller, self, outages } = deps;
    let feeder: string | undefined;
    let nextAskAtMs = -Infinity;
    const followedDirectly = new Set<string>();
    const unsureUntilMs = new Map<string, number>();

    function listAvoided(): string[] {
        const nowMs = clock.monotonicMs();
        const unsure = [...unsureUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([runner]) => runner);
        return [...new Set([...caller.listSilent(), ...unsure])];
    }

    /** A runner that reaches the store is better informed about outages than one that does not. */
    function recordOutages(answer: Exclude<FeedAnswer, { kind: "elsewhere"; }>): void {
        if (answer.sinceOutageMs !== undefined) {
            outages.recordOutage(answer.sinceOutageMs);
        }
        else if (isDataAnswer(answer)) {
            outages.recordStoreUp();
        }
    }

    function handleAnswer(
        runner: string,
        answer: Exclude<FeedAnswer, { kind: "elsewhere"; }>,
    ): DataAnswer | undefined {
        recordOutages(answer);
        if (isDataAnswer(answer)) {
            return answer;
        }
        unsureUntilMs.set(runner, clock.monotonicMs() + unsureMs);
        return undefined;
    }

    /**
     * A runner that can no longer reach the store redirects to another one, which may not have detected that yet and
     * redirects back. So each runner that redirected is listed as avoided in the queries after it.
     */
    async function askRunners(query: FeedQuery): Promise<DataAnswer | undefined> {
        const avoided = [...query.avoided ?? []];
        const send = async (address: RunnerAddress, runner: string): Promise<FeedAnswer> => {
            const answer = await deps.send(
                address,
                { ...query, avoided: [...avoided] },
                query.waitMs + answerSlackMs,
            );
            avoided.push(runner);
            return answer;
        };
        const found = await caller.ask(feeder, send, query.avoided);
        feeder = found?.runner;
        return found === undefined ? undefined : handleAnswer(found.runner, found.answer);
    }

    async function askOnce(query: FeedQuery): Promise<DataAnswer | undefined> {
        const fullQuery = { ...query, avoided: listAvoided() };
        const ownAnswer = await deps.hub()?.answer(fullQuery);
        if (ownAnswer === undefined) {
            return askRunners(fullQuery);
        }
        if (ownAnswer.kind === "elsewhere") {
            feeder = ownAnswer.runner;
            return askRunners({ ...fullQuery, avoided: [...fullQuery.avoided, self] });
        }
        return handleAnswer(self, ownAnswer);
    }

    /** The second query waits only briefly, so that changes are not hidden beyond the time at which they are due. */
    async function askTwoRunners(query: FeedQuery): Promise<DataAnswer | undefined> {
        const short = { ...query, waitMs: Math.min(query.waitMs, secondWaitMs) };
        const answer = followedDirectly.has(query.prefix) ? undefined : await askOnce(query);
        return answer ?? askOnce(short);
    }

    async function tryRunners(query: FeedQuery): Promise<DataAnswer | undefined> {
        const answer = await askTwoRunners(query);
        if (answer === undefined) {
            nextAskAtMs = clock.monotonicMs() + retryDelayMs;
        }
        else {
            followedDirectly.delete(query.prefix);
        }
        return answer;
    }

    async function ask(query: FeedQuery): Promise<DataAnswer | undefined> {
        const answer = clock.monotonicMs() < nextAskAtMs ? undefined : await tryRunners(query);
        if (answer !== undefined || !await deps.waitForStore()) {
            return answer;
        }
        await clock.sleep(recoveryDelayMs);
        return tryRunners(query);
    }

    function markDirect(prefix: string): void {
        if (followedDirectly.size >= maxFollowedDirectly) {
            followedDirectly.clear();
        }
        followedDirectly.add(prefix);
    }

    /**
     * Runners become unsure if the store drops its history, and a watch on an old revision may then receive nothing for
     * its whole wait. So the first call to the store itself is a list, and the watches after it are short.
     */
    async function watchStore(
        prefix: string,
        since: ObjectVersion,
        waitMs: number,
    ): ReturnType<ObjectStore["watch"]> {
        if (followedDirectly.has(prefix)) {
            return inner.watch(prefix, since, Math.min(waitMs, directWaitMs));
        }
        const { objects, revision } = await inner.list(prefix);
        markDirect(prefix);
        return { changes: objects, revision, relisted: true };
    }

    return {
        ...inner,
        list: async prefix => {
            const answer = await ask({ prefix, waitMs: maxWaitMs });
            if (answer?.kind === "listed") {
                return answer;
            }
            const found = await inner.list(prefix);
            markDirect(prefix);
            return found;
        },
        watch: async (prefix, since, waitMs) => {
            // Until runners can be asked again, the latest list is recent enough.
            await clock.sleep(Math.max(0, nextAskAtMs - clock.monotonicMs()));
            const answer = await ask({ prefix, since, waitMs: Math.min(waitMs, maxWaitMs) });
            if (answer === undefined) {
                return watchStore(prefix, since, waitMs);
            }
            return answer.kind === "changed"
                ? { changes: answer.changes, revision: answer.revision }
                : { changes: answer.objects, revision: answer.revision, relisted: true };
        },
    };
}
