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
    /** Rejects if the runner does not answer in time. */
    send: (address: RunnerAddress, query: FeedQuery, timeoutMs: number) => Promise<FeedAnswer>;
    /** Resolves once calls to the store succeed, or have failed for long: true if they failed at first. */
    waitForStore: () => Promise<boolean>;
    /** Hears what runners tell of outages. */
    outages: Pick<OutageTracker, "recordOutage" | "recordStoreUp">;
    clock: Clock;
}

type DataAnswer = Extract<FeedAnswer, { kind: "listed" | "changed"; }>;

/**
 * Longest wait of one question. A runner that falls silent hides changes for this long and the slack; they are due
 * within two seconds.
 */
const maxWaitMs = 800;
/** Longest wait of a question to a second runner after the first fell silent, within the same two seconds. */
const secondWaitMs = 200;
/** Beyond the wait; an answer takes a few milliseconds between failure domains. */
const answerSlackMs = 300;
/** Without a runner that can tell, runners are asked again after this time, and the store if they still can't. */
const retryDelayMs = 600;
/** Longest wait of a watch at the store itself. */
const directWaitMs = 1_000;
/** A runner that could not tell is passed over for this long. */
const unsureMs = 1_000;
/** The store is back for all processes within this time of the first; the runner that feeds has to hear it first. */
const recoveryDelayMs = 400;
/** Prefixes that are followed at the store itself for now; more than there are kinds. */
const maxDirect = 64;

const isDataAnswer = (answer: FeedAnswer | undefined): answer is DataAnswer =>
    answer?.kind === "listed" || answer?.kind === "changed";

/**
 * The store, with lists and watches answered by the runner that follows it for all, or by a second one where that is
 * silent or can't tell. If every process turned to the store instead, each hiccup of one runner and each outage would
 * cost as many calls as there are processes and kinds.
 */
export function createFeedBackedStore(deps: FeedBackedStoreDeps): ObjectStore {
    const { inner, clock, caller, self, outages } = deps;
    let feeder: string | undefined;
    let nextAskAtMs = -Infinity;
    const direct = new Set<string>();
    const unsureUntilMs = new Map<string, number>();

    function listAvoided(): string[] {
        const nowMs = clock.monotonicMs();
        const unsure = [...unsureUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([runner]) => runner);
        return [...new Set([...caller.listSilent(), ...unsure])];
    }

    /** A runner that has the store knows better than one that has lost it whether there was an outage. */
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
     * A runner that has just lost the store names another, which may not know of it yet and would name it back: so who
     * declined is avoided by those asked after it.
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
        const asked = { ...query, avoided: listAvoided() };
        const ownAnswer = await deps.hub()?.answer(asked);
        if (ownAnswer === undefined) {
            return askRunners(asked);
        }
        if (ownAnswer.kind === "elsewhere") {
            feeder = ownAnswer.runner;
            return askRunners({ ...asked, avoided: [...asked.avoided, self] });
        }
        return handleAnswer(self, ownAnswer);
    }

    /** What has failed just now is tried shortly, so that changes are not hidden for longer than they are due. */
    async function askTwoRunners(query: FeedQuery): Promise<DataAnswer | undefined> {
        const short = { ...query, waitMs: Math.min(query.waitMs, secondWaitMs) };
        const answer = direct.has(query.prefix) ? undefined : await askOnce(query);
        return answer ?? askOnce(short);
    }

    async function tryRunners(query: FeedQuery): Promise<DataAnswer | undefined> {
        const answer = await askTwoRunners(query);
        if (answer === undefined) {
            nextAskAtMs = clock.monotonicMs() + retryDelayMs;
        }
        else {
            direct.delete(query.prefix);
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
            // What was listed just now is as good as a watch until runners can be asked again.
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
