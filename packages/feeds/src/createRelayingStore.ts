import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import { isStoreDoubtful } from "./isStoreDoubtful.js";
import { performStoreCall } from "./performStoreCall.js";
import { settleRepeatedCall } from "./settleRepeatedCall.js";
import type { StoreCall } from "./StoreCall.js";
import type { StoreCallAnswer } from "./StoreCallAnswer.js";
import type { StoreReach } from "./StoreReach.js";
import { suspectAfterMs } from "./suspectAfterMs.js";

interface RelayingStoreDeps {
    /** The store by this process's own connection. */
    direct: ObjectStore;
    /** How this process reaches the store by its own calls. */
    reach: () => StoreReach;
    /** Makes a call through a peer; `notSent` if no peer can be used. */
    relayCall: (call: StoreCall) => Promise<StoreCallAnswer | { kind: "notSent"; }>;
    /** Whether peers make calls for this key. */
    isRelayable: (key: string) => boolean;
    clock: Clock;
}

const recheckMs = 50;
/** While no runner can be used, one is looked for this often until the direct call is answered or gives up. */
const relayRetryMs = 250;

type KnownAnswer = Exclude<StoreCallAnswer, { kind: "refused" | "unknown"; }>;

const isKnown = (answer: { kind: string; }): answer is KnownAnswer =>
    answer.kind === "read" || answer.kind === "written" || answer.kind === "conflict";

const storeUnavailable = (detail: string): ResultError =>
    new ResultError(resultCodes.storeUnavailable, detail);
const storeThrottled = (detail: string): ResultError => new ResultError(resultCodes.storeThrottled, detail);

/** Resolves with the first answer that is known, or with undefined once both have none. */
async function firstKnown(
    answers: Promise<{ kind: string; }>[],
): Promise<KnownAnswer | undefined> {
    return new Promise(resolve => {
        let left = answers.length;
        for (const pending of answers) {
            void pending.then(answer => {
                left--;
                if (isKnown(answer)) {
                    resolve(answer);
                }
                else if (left === 0) {
                    resolve(undefined);
                }
            });
        }
    });
}

/**
 * Creates a store whose reads, writes and removals go through a peer while this process's own calls do not reach the
 * store. While they do, or while no peer can be used, a call is made directly, and also sent through a peer if it fails or
 * has no answer for `suspectAfterMs`. Lists and watches are not relayed.
 */
export function createRelayingStore(deps: RelayingStoreDeps): ObjectStore {
    const { direct, clock } = deps;

    async function callDirectly(call: StoreCall): Promise<KnownAnswer> {
        const { answer, error } = await performStoreCall(direct, call);
        if (!isKnown(answer)) {
            throw error;
        }
        return answer;
    }

    /**
     * Resolves with the direct answer, or with undefined once this process has had no answer at all for too long. A slow
     * store that answers other calls meanwhile is not taken for lost, since each relayed copy adds to its load.
     */
    async function waitWhileStoreAnswers(
        directAnswer: Promise<StoreCallAnswer>,
    ): Promise<StoreCallAnswer | undefined> {
        const waited = new AbortController();
        const wait = async (ms: number): Promise<StoreCallAnswer | undefined> =>
            Promise.race([directAnswer, clock.sleep(ms, waited.signal).then(() => undefined)]);
        let answer = await wait(suspectAfterMs);
        while (answer === undefined && !isStoreDoubtful(deps.reach())) {
            answer = await wait(recheckMs);
        }
        waited.abort();
        return answer;
    }

    /**
     * Sends a call through a peer as soon as one can be used. Resolves with `notSent` if the direct call has ended by then;
     * `isSent` is false for as long as no peer has the call.
     */
    function relayOnceFound(call: StoreCall, directAnswer: Promise<StoreCallAnswer>) {
        const state = { isSent: true, hasDirectEnded: false };
        const directEnd = directAnswer.then(() => {
            state.hasDirectEnded = true;
        });
        const relay = async (): Promise<StoreCallAnswer | { kind: "notSent"; }> => {
            state.isSent = true;
            const answer = await deps.relayCall(call);
            state.isSent = answer.kind !== "notSent";
            if (state.isSent || state.hasDirectEnded) {
                return answer;
            }
            const waited = new AbortController();
            await Promise.race([directEnd, clock.sleep(relayRetryMs, waited.signal)]);
            waited.abort();
            return state.hasDirectEnded ? answer : relay();
        };
        return { answer: relay(), isSent: () => state.isSent };
    }

    /** The direct call is not given up: its answer may still arrive before that of a peer. */
    async function callBoth(call: StoreCall): Promise<KnownAnswer> {
        const performed = performStoreCall(direct, call);
        const directAnswer = performed.then(({ answer }) => answer);
        const early = await waitWhileStoreAnswers(directAnswer);
        if (early !== undefined && isKnown(early)) {
            return early;
        }
        const relayed = relayOnceFound(call, directAnswer);
        const known = await firstKnown([directAnswer, relayed.answer]);
        if (known !== undefined) {
            return relayed.isSent() ? settleRepeatedCall(call, known) as KnownAnswer : known;
        }
        const { answer, error } = await performed;
        const relayedKind = (await relayed.answer).kind;
        if (relayedKind === "notSent") {
            throw error;
        }
        // Only if every copy was refused is it certain that nothing was done.
        throw answer.kind === "refused" && relayedKind === "refused"
            ? storeThrottled("refused here and through a peer")
            : storeUnavailable("no answer here or through a peer");
    }

    async function callThroughPeer(call: StoreCall): Promise<KnownAnswer> {
        const answer = await deps.relayCall(call);
        if (isKnown(answer)) {
            return answer;
        }
        if (answer.kind === "notSent") {
            return callBoth(call);
        }
        throw answer.kind === "refused"
            ? storeThrottled("refused through a peer")
            : storeUnavailable("no answer through a peer");
    }

    async function make(call: StoreCall): Promise<KnownAnswer> {
        if (!deps.isRelayable(call.key)) {
            return callDirectly(call);
        }
        return isStoreDoubtful(deps.reach()) ? callThroughPeer(call) : callBoth(call);
    }

    async function change(call: StoreCall): Promise<WriteOutcome> {
        const answer = await make(call);
        if (answer.kind === "read") {
            throw storeUnavailable("answer to another call");
        }
        return answer.kind === "written" ? answer : { kind: "conflict", current: answer.current };
    }

    return {
        ...direct,
        read: async key => {
            const answer = await make({ call: "read", key });
            if (answer.kind !== "read") {
                throw storeUnavailable("answer to another call");
            }
            return answer.object;
        },
        write: (key, value, expectedVersion) => change({ call: "write", key, value, expectedVersion }),
        remove: (key, expectedVersion) => change({ call: "remove", key, expectedVersion }),
    };
}
