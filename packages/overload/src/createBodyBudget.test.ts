import { codeOf } from "@auburnarch/errors/codeOf";
import fc from "fast-check";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { expect, test } from "vitest";
import type { BodyHold } from "./BodyHold.js";
import { createBodyBudget } from "./createBodyBudget.js";
import { readRequestBody } from "./readRequestBody.js";

const maxBodyBytes = 5_000;
/** Lets the streams deliver what was pushed. */
const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5));

/** A client that announces a length, or sends chunks if it is undefined. */
function createReader(maxHeldBytes: number, maxOwnerShare?: number) {
    const budget = createBodyBudget({
        maxHeldBytes,
        ...(maxOwnerShare === undefined ? {} : { maxOwnerShare }),
    });
    return {
        budget,
        read: (announcedBytes: number | undefined, owner?: string) => {
            const message = new IncomingMessage(new Socket());
            Object.assign(
                message.headers,
                announcedBytes === undefined
                    ? { "transfer-encoding": "chunked" }
                    : { "content-length": String(announcedBytes) },
            );
            const hold = budget.open(owner);
            const state: { result: string; } = { result: "open" };
            readRequestBody(message, maxBodyBytes, hold).then(
                body => (state.result = `${body.length} bytes`),
                (error: unknown) => (state.result = codeOf(error).name),
            );
            return {
                hold,
                result: () => state.result,
                send: async (bytes: number) => {
                    message.push(Buffer.alloc(bytes));
                    await settle();
                },
                end: async () => {
                    message.push(null); // eslint-disable-line no-restricted-syntax
                    await settle();
                },
            };
        },
    };
}

test("an announced length holds nothing until it is sent, and is refused at once if it cannot fit", async () => {
    // Guards against clients that announce bodies, never send them and thereby exclude all others.
    const { budget, read } = createReader(1_000);
    const silent = read(1_000);
    const sent = read(900);
    expect(budget.heldBytes()).toBe(0);
    await sent.send(900);
    await sent.end();
    expect([sent.result(), budget.heldBytes()]).toEqual(["900 bytes", 900]);
    // Received bodies are not given up for others.
    const late = read(101);
    await settle();
    expect([late.result(), silent.result()]).toEqual(["bodiesFull", "open"]);
    sent.hold.close();
    expect(budget.heldBytes()).toBe(0);
});

test("the largest unfinished body gives way to a smaller one", async () => {
    // Guards against bodies that stop short of their end and keep others out.
    const { budget, read } = createReader(1_000);
    const large = read(900);
    await large.send(850);
    const small = read(200);
    await small.send(200);
    await small.end();
    expect([large.result(), small.result(), budget.heldBytes()]).toEqual(["bodiesFull", "200 bytes", 200]);
});

test("of large bodies that do not fit together one is received", async () => {
    // Guards against bodies that give each other up until none is served.
    const { read } = createReader(1_000);
    const bodies = [1, 2, 3, 4].map(() => read(700));
    for (let part = 0; part < 7; part++) {
        for (const body of bodies) {
            await body.send(100);
        }
    }
    for (const body of bodies) {
        await body.end();
    }
    const results = bodies.map(body => body.result()).sort();
    expect(results).toEqual(["700 bytes", "bodiesFull", "bodiesFull", "bodiesFull"]);
});

test("one owner's bodies give way to those of the same owner only", async () => {
    const { read } = createReader(1_000, 0.5);
    const other = read(500, "other");
    await other.send(490);
    const first = read(400, "own");
    await first.send(400);
    const second = read(300, "own");
    await second.send(300);
    await second.end();
    expect([other.result(), first.result(), second.result()]).toEqual(["open", "bodiesFull", "300 bytes"]);
});

test("a body in chunks of a byte costs the memory of its bytes", async () => {
    // Guards against chunks that cost more than is counted, until the process runs out of memory.
    const { budget, read } = createReader(8_192);
    const body = read(undefined);
    for (let sent = 0; sent < 100; sent++) {
        await body.send(1);
    }
    expect(budget.heldBytes()).toBe(4_096);
    await body.end();
    expect(body.result()).toBe("100 bytes");
});

test("the count never exceeds the budget, and is 0 once all bodies are closed", () => {
    // Guards against bytes that stay counted, until the process refuses everything.
    const step = fc.record({
        hold: fc.nat({ max: 4 }),
        bytes: fc.nat({ max: 600 }),
        action: fc.constantFrom("reserve", "reserve", "complete", "close"),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const budget = createBodyBudget({ maxHeldBytes: 1_000, maxOwnerShare: 0.7 });
            const holds: BodyHold[] = Array.from({ length: 5 }, (_, index) => budget.open(`o${index % 2}`));
            for (const { hold, bytes, action } of steps) {
                if (action === "reserve") {
                    holds[hold]!.reserve(bytes);
                }
                else {
                    holds[hold]![action]();
                }
                expect(budget.heldBytes()).toBeLessThanOrEqual(1_000);
                expect(budget.heldBytes()).toBeGreaterThanOrEqual(0);
            }
            holds.forEach(hold => hold.close());
            expect(budget.heldBytes()).toBe(0);
            expect(holds.some(hold => hold.reserve(1))).toBe(false);
        }),
        { seed: 1, numRuns: 200 },
    );
});
