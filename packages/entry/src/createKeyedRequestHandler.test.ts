import type { KeyRange } from "@auburnarch/admission/KeyRange";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import { v7 as newKey } from "uuid";
import { expect, test } from "vitest";
import type { CallerRequest } from "./CallerRequest.js";
import { createKeyedRequestHandler } from "./createKeyedRequestHandler.js";
import { createTestContext } from "./testing/createTestContext.js";

type Outcome = AttemptOutcome<PlainAnswer>;

const key = newKey();
const digest = "d" as ContentDigest;
const broken: Outcome = { kind: "unknown", code: resultCodes.connectionBroken };
const noConnection: Outcome = { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
const noOwner: Outcome = { kind: "notRun", code: resultCodes.notOwner, retryAfterMs: 1_000 };
const ran = { kind: "ran", answer: { status: 200 } } as Outcome;

function createFixture(
    answers: Outcome[],
    range?: Partial<KeyRange>,
    onForward: (count: number) => void = () => undefined,
) {
    const context = createTestContext();
    const forwardedRequests: CallerRequest[] = [];
    const caller = new AbortController();
    let executed = 0;
    const handleRequest = createKeyedRequestHandler({
        ...context,
        selfAddress: "http://entry-1",
        findRange: () => range as KeyRange | undefined,
        findOwnerAddress: () => "http://entry-2",
        forward: async (_address, request) => {
            forwardedRequests.push(request);
            onForward(forwardedRequests.length);
            return answers.shift()!;
        },
    });
    const execute = async (signal: AbortSignal): Promise<Outcome> => {
        executed++;
        return signal.aborted ? broken : ran;
    };
    return {
        forwardedRequests,
        caller,
        executed: () => executed,
        call: (change: Partial<CallerRequest> = {}) => {
            const request = { idempotencyKey: key, forwarded: false, ...change } as CallerRequest;
            return handleRequest(request, digest, 1_000, execute, caller.signal);
        },
    };
}

test("a request is forwarded to the owner of its key and does not run here", async () => {
    const { call, forwardedRequests, executed } = createFixture([ran]);
    expect(await call()).toBe(ran);
    expect(forwardedRequests.map(each => each.budgetMs)).toEqual([1_000]);
    expect(executed()).toBe(0);
});

test("the outcome stays unknown if the connection to the owner breaks and the second attempt is refused", async () => {
    // Guards against duplicate effects: a caller that is answered "not run" would send the request again under
    // another key.
    for (const refusal of [noOwner, noConnection]) {
        const { call, forwardedRequests } = createFixture([broken, refusal]);
        expect(await call()).toBe(broken);
        expect(forwardedRequests).toHaveLength(2);
    }
});

test("the outcome stays unknown if the caller disconnects during the second attempt", async () => {
    // Guards against counting a request as not run although the first attempt may have run it.
    const { call, caller, forwardedRequests } = createFixture([broken, noConnection], undefined, count => {
        if (count === 2) {
            caller.abort();
        }
    });
    expect(await call()).toBe(broken);
    expect(forwardedRequests).toHaveLength(2);
});

test("a forwarded request is not forwarded again", async () => {
    // Guards against two entries forwarding a request to each other until its deadline.
    const { call, forwardedRequests } = createFixture([]);
    expect(await call({ forwarded: true })).toEqual(noOwner);
    expect(forwardedRequests).toEqual([]);
});

test("a key that contains no time is refused, and nothing runs", async () => {
    const { call, executed } = createFixture([]);
    const random = "7b1f1d7e-5c0c-4d1f-9c37-0d9d3f3f8f01";
    expect(await call({ idempotencyKey: random })).toMatchObject({ code: resultCodes.keyNotUuidV7 });
    expect(executed()).toBe(0);
});

test("a run continues after its caller disconnects, for callers that send the same key again", async () => {
    const { call, caller, executed } = createFixture([], { run: (_request, execute) => execute() });
    caller.abort();
    expect(await call()).toBe(ran);
    expect(executed()).toBe(1);
});
