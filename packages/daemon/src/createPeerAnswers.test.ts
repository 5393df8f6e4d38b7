import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createToldTime } from "@auburnarch/clock/createToldTime";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createBreakRegistry } from "@auburnarch/forwarding/createBreakRegistry";
import type { RunnerStatus } from "@auburnarch/runner/peers/RunnerStatus";
import { expect, test } from "vitest";
import { createPeerAnswers } from "./createPeerAnswers.js";
import { rpcMethods } from "./rpcMethods.js";

const asked: unknown[] = [];
const breaks = createBreakRegistry(createFakeClock());
const answer = createPeerAnswers({
    runner: () => ({
        status: () => ({ incarnation: "r1" }) as RunnerStatus,
        results: async (lot: BatchJobId, fromChunk: number, waitMs: number) => {
            asked.push([lot, fromChunk, waitMs]);
            return { kind: "unsure" };
        },
    }),
    hub: () => ({
        answer: async query => {
            asked.push(query);
            return { kind: "elsewhere", runner: "r2" };
        },
    }),
    extras: { breaks, trueTime: createToldTime(createFakeClock()), meter: undefined, starts: undefined },
});

test("each call reaches the part that answers it, and no other is answered", async () => {
    expect([
        await answer(rpcMethods.status, {}),
        await answer(rpcMethods.results, { lot: "l", fromChunk: 2, waitMs: 50 }),
        await answer(rpcMethods.feed, { prefix: "lots/", since: 7, waitMs: 100 }),
        asked,
    ]).toEqual([
        { incarnation: "r1" },
        { kind: "unsure" },
        { kind: "elsewhere", runner: "r2" },
        [["l", 2, 50], { prefix: "lots/", since: 7, waitMs: 100 }],
    ]);
    const refused = await answer("runner.unknown", {}).catch((error: unknown) => codeOf(error).name);
    expect(refused).toBe("badRequest");
});

test("what broke off at samplers goes on to whoever asks for changes next", async () => {
    const mark = { content: "c1", breaks: 2, ageMs: 0 };
    const query = { prefix: "lots/", since: 7, waitMs: 100 };
    await answer(rpcMethods.feed, { ...query, breaks: [mark] });
    expect(await answer(rpcMethods.feed, query)).toEqual({ kind: "elsewhere", runner: "r2", breaks: [mark] });
});
