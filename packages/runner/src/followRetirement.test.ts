import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { expect, test } from "vitest";
import { followRetirement } from "./followRetirement.js";
import type { RetirementRequest } from "./RetirementRequest.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const absent = 0 as ObjectVersion;

test("a retiring VM hands over first and reports completion last, also while status reports fail", async () => {
    // Guards against a VM not being vacated within the time that the operator allowed.
    const clock = createFakeClock();
    const { store } = createFakeObjectStore({ clock, random: createRandom(2) });
    const events: string[] = [];
    let failures = 2;
    const requests = watchKind<RetirementRequest>({
        store,
        clock,
        logger: silent,
        kind: "retirements",
        decode: (_name, value) => value as RetirementRequest,
    });
    const follower = followRetirement({
        self: "vm-1",
        requests,
        report: async state => {
            if (failures-- > 0) {
                throw new Error("no answer");
            }
            events.push(state);
        },
        handOver: async () => {
            await clock.sleep(500);
            events.push("handed over");
        },
        clock,
        logger: silent,
    });
    await clock.advance(1_000);
    await store.write("retirements/vm-2", { durationMs: 1_000 }, absent);
    await clock.advance(1_000);
    expect(events).toEqual([]);
    await store.write("retirements/vm-1", { durationMs: 1_000 }, absent);
    await clock.advance(5_000);
    expect(events).toEqual(["running", "handed over", "completed"]);
    follower.stop();
    requests.stop();
});
