import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { expect, test } from "vitest";
import { readHeldBody } from "./readHeldBody.js";

/** A client that sends `bytes` at once and ends its body after `endMs`, or never if it is infinite. */
function createFixture(maxHeldBytes = 1_000) {
    const clock = createFakeClock();
    const budget = createBodyBudget({ maxHeldBytes });
    async function read(bytes: number, endMs: number, signal: AbortSignal) {
        const hold = budget.open();
        try {
            const body = await readHeldBody({
                request: {
                    readBody: async (_maxBytes, held) => {
                        if (!held.reserve(bytes)) {
                            throw new Error("stopped");
                        }
                        await clock.sleep(endMs);
                        held.complete();
                        return new Uint8Array(bytes);
                    },
                },
                maxBodyBytes: 5_000,
                hold,
                limitMs: 300,
                clock,
                signal,
            });
            return body.length;
        }
        catch (error) {
            return codeOf(error).name;
        }
        finally {
            hold.close();
        }
    }
    return { clock, budget, read };
}

test("a slow client keeps its bytes only for the time limit, and one that leaves frees them at once", async () => {
    // Guards against clients that begin a body, never end it and thereby exclude all others.
    const { clock, budget, read } = createFixture();
    const results: unknown[] = [];
    const caller = new AbortController();
    const never = new AbortController().signal;
    void read(600, Number.POSITIVE_INFINITY, never).then(result => results.push(result));
    void read(400, Number.POSITIVE_INFINITY, caller.signal).then(result => results.push(result));
    await clock.advance(100);
    expect([budget.heldBytes(), results]).toEqual([1_000, []]);
    caller.abort();
    await clock.advance(1);
    expect([budget.heldBytes(), results]).toEqual([600, ["connectionBroken"]]);
    await clock.advance(250);
    expect([budget.heldBytes(), results]).toEqual([0, ["connectionBroken", "deadlinePassed"]]);
});
