import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import { settleRepeatedCall } from "./settleRepeatedCall.js";
import type { StoreCall } from "./StoreCall.js";
import type { StoreCallAnswer } from "./StoreCallAnswer.js";
import type { StoreRelays } from "./StoreRelays.js";

/** Called for each relayed call with the kind of its answer, or with why there was none. */
type RecordRelayedCall = (via: string, call: StoreCall, result: string, tookMs: number) => void;

interface RelayedCallsDeps {
    relays: StoreRelays;
    /** Sends a call to a runner; rejects if it does not answer in time. */
    send: (address: RunnerAddress, call: StoreCall, timeoutMs: number) => Promise<StoreCallAnswer>;
    record: RecordRelayedCall;
    clock: Clock;
}

/** Twice the response time of a slow store. */
const relayTimeoutMs = 500;
/** A call is sent to so many runners at most: the first, one after it died, and one of an earlier build. */
const maxRelays = 3;
/** A runner that did not answer is excluded for about the time in which its peers notice a crash. */
const silentExclusionMs = 2_000;
/** A runner that lost the store reports it from then on. */
const lostStoreExclusionMs = 1_000;
const unknownMethodExclusionMs = 10_000;

const isKnown = ({ kind }: StoreCallAnswer): boolean => kind !== "unknown" && kind !== "refused";

/** Only `storeThrottled` states that nothing was done. */
const toProven = (answer: StoreCallAnswer): StoreCallAnswer =>
    answer.kind === "refused" && answer.code !== resultCodes.storeThrottled.number
        ? { kind: "unknown" }
        : answer;

/**
 * Creates the sender of calls through peers. Resolves with `notSent` if no runner can be used. If a runner does not
 * answer, the call is sent to the next one, under the same version; a refusal ends it, since the store may refuse all.
 */
export function createRelayedCalls(deps: RelayedCallsDeps) {
    const { relays, clock } = deps;

    async function sendTo(
        { name, address }: { name: string; address: RunnerAddress; },
        call: StoreCall,
    ): Promise<StoreCallAnswer | { kind: "notServed"; }> {
        const sentAtMs = clock.monotonicMs();
        const record = (result: string): void =>
            deps.record(name, call, result, clock.monotonicMs() - sentAtMs);
        try {
            const answer = toProven(await deps.send(address, call, relayTimeoutMs));
            record(answer.kind);
            if (isKnown(answer)) {
                relays.confirm(name);
            }
            else {
                relays.drop(name, lostStoreExclusionMs, answer.kind);
            }
            return answer;
        }
        catch (error) {
            const isNotServed = codeOf(error) === resultCodes.badRequest;
            record(isNotServed ? "notServed" : "noAnswer");
            if (isNotServed) {
                relays.drop(name, unknownMethodExclusionMs, "notServed");
                return { kind: "notServed" };
            }
            relays.drop(name, silentExclusionMs, "noAnswer");
            return { kind: "unknown" };
        }
    }

    return async (call: StoreCall): Promise<StoreCallAnswer | { kind: "notSent"; }> => {
        let isUnresolved = false;
        for (let sent = 0; sent < maxRelays; sent++) {
            const relay = await relays.choose();
            if (relay === undefined) {
                break;
            }
            const answer = await sendTo(relay, call);
            if (answer.kind === "unknown") {
                isUnresolved = true;
            }
            else if (answer.kind === "refused") {
                return isUnresolved ? { kind: "unknown" } : answer;
            }
            else if (answer.kind !== "notServed") {
                return isUnresolved ? settleRepeatedCall(call, answer) : answer;
            }
        }
        return { kind: isUnresolved ? "unknown" : "notSent" };
    };
}
