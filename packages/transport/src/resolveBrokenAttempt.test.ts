import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import { expect, test } from "vitest";
import { resolveBrokenAttempt } from "./resolveBrokenAttempt.js";

const sentTo = "one" as IncarnationId;

async function resolve(
    state: AttemptState["state"] | "silent",
    incarnation: string,
    ageMs = 0,
): Promise<string> {
    const clock = createFakeClock();
    const sentAtMs = clock.monotonicMs();
    await clock.advance(ageMs);
    let queries = 0;
    const query = async (): Promise<AttemptState> => {
        queries++;
        if (state === "silent") {
            throw new Error("no response");
        }
        return { incarnation: incarnation as IncarnationId, state };
    };
    const resolving = resolveBrokenAttempt({ attempt: "a" as AttemptId, sentTo, sentAtMs, clock, query });
    await clock.advance(1_000);
    const outcome = await resolving;
    return `${outcome.kind} asked=${queries}`;
}

test("only neverSeen and refused, from the same incarnation and within its memory, yield notRun", async () => {
    // Guards against reporting `notRun` for an attempt that ran.
    expect({
        neverSeen: await resolve("neverSeen", "one"),
        refused: await resolve("refused", "one"),
        running: await resolve("running", "one"),
        finished: await resolve("finished", "one"),
        otherIncarnation: await resolve("neverSeen", "two"),
        afterMemory: await resolve("neverSeen", "one", 120_000),
        silent: await resolve("silent", "one"),
    }).toMatchInlineSnapshot(`
      {
        "afterMemory": "unknown asked=1",
        "finished": "unknown asked=1",
        "neverSeen": "notRun asked=1",
        "otherIncarnation": "unknown asked=1",
        "refused": "notRun asked=1",
        "running": "unknown asked=1",
        "silent": "unknown asked=3",
      }
    `);
});
