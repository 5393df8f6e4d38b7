import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createLogger } from "@auburnarch/log/createLogger";
import { expect, test } from "vitest";
import { createStoreRelays } from "./createStoreRelays.js";

/** A cut-off process beside runners, each of which reports after its time that the store answers it. */
function createFixture(answerMs: Record<string, number>) {
    const clock = createFakeClock();
    const lines: string[] = [];
    const names = Object.keys(answerMs);
    const relays = createStoreRelays({
        self: "gateway-1",
        runners: () => new Map(names.map((name, index) => [name, { host: "127.0.0.1", port: index + 1 }])),
        askReport: async ({ port }, timeoutMs) => {
            const takesMs = answerMs[names[port - 1]!]!;
            await clock.sleep(Math.min(takesMs, timeoutMs));
            if (takesMs > timeoutMs) {
                throw new ResultError(resultCodes.storeUnavailable);
            }
            return { reach: { silentMs: 0, unansweredMs: 0 }, isLeaving: false };
        },
        reach: () => ({ silentMs: 700, unansweredMs: 0 }),
        clock,
        logger: createLogger(clock, line => lines.push(line)),
    });
    /** What is chosen within `withinMs`. */
    const chooseWithin = async (withinMs: number): Promise<string | undefined> => {
        let chosen: string | undefined;
        void relays.choose().then(relay => {
            chosen = relay?.name;
        }, error => {
            chosen = String(codeOf(error));
        });
        await clock.advance(withinMs);
        return chosen;
    };
    return { answerMs, chooseWithin, clock, lines };
}

test("a store call does not wait for runners that do not answer while another one does", async () => {
    // Guards against calls of a cut-off process that wait for the failed VMs beside it.
    const { chooseWithin } = createFixture({ "storage-1": Infinity, "storage-2": 10, "storage-3": Infinity });
    expect(await chooseWithin(20)).toBe("storage-2");
});

test("runners on busy VMs that answer after 0.25 s are still used", async () => {
    // Guards against a lease that lapses because no runner answers in a shorter time.
    const { chooseWithin } = createFixture({ "storage-1": 250, "storage-2": 250, "storage-3": 250 });
    expect(await chooseWithin(260)).toMatch(/^storage-/);
});

test("a relay that has stopped answering is replaced at the next look-up", async () => {
    // Guards against an old report of the relay that counts as its answer because another runner answers first.
    const { answerMs, chooseWithin, clock } = createFixture({ "storage-1": 5, "storage-2": 5 });
    const first = (await chooseWithin(20))!;
    answerMs[first] = Infinity;
    await clock.advance(900);
    const next = await chooseWithin(20);
    expect(next).toMatch(/^storage-/);
    expect(next).not.toBe(first);
});

test("a series of look-ups without a result is logged once, with the number of answers", async () => {
    // Guards against logs that do not tell peers that are slow from peers that do not reach the store either.
    const { answerMs, chooseWithin, clock, lines } = createFixture({ "storage-1": 400, "storage-2": 400 });
    expect(await chooseWithin(300)).toBeUndefined();
    await clock.advance(2_000);
    answerMs["storage-1"] = 5;
    await clock.advance(1_000);
    const events = lines.map(line => /event=(.*)$/u.exec(line)![1]);
    expect(events).toEqual([
        expect.stringMatching(/^storeRelayNotFound asked=\S+ answered=0$/u),
        expect.stringMatching(/^storeRelayChosen via=storage-1 /u),
    ]);
});
