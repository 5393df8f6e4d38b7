import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { expect, test } from "vitest";
import { learnWithinMs } from "./learnWithinMs.js";
import { createTestGate } from "./testing/createTestGate.js";

const limits = { maxQueuedPerTeam: 1, interactiveWaitMs: 250 };
const manifest = { version: 1, manifest: { teams: [], limits } } as never;

const refused: QuarantineRecord = {
    digest: "digest-killer" as never,
    deaths: ["vm-a", "vm-b"].map(vm => ({ vm: vm as never, bootId: vm, atMs: 1_700_000_000_000 })),
    expiresAtMs: 1_800_000_000_000,
    liftedAtMs: undefined,
};

function createStartedGate() {
    const { gate, clock, attempt } = createTestGate({ learnWithinMs });
    async function send(id: string, digest = `digest-${id}`): Promise<string> {
        let ended = "running";
        void gate.runSample(attempt(id, { digest }), () => undefined, new AbortController().signal).then(
            outcome => {
                ended = outcome.kind === "ran" ? "ran" : `${outcome.kind} ${outcome.code.name}`;
            },
        );
        await clock.advance(1);
        return ended;
    }
    return { gate, clock, send };
}

// Guards against: a content that has killed on two VMs kills the engine of a sidecar that has just started.
test("a sidecar that has just started takes work once it has been told what is refused", async () => {
    const { gate, send } = createStartedGate();
    const before = await send("early killer", "digest-killer");
    gate.offerManifest(manifest);
    gate.offerQuarantine(1, [refused]);
    expect([before, await send("killer"), await send("other")]).toEqual([
        "notRun notReady",
        "notRun quarantined",
        "running",
    ]);
});

test("a sidecar that nobody tells anything takes work after a while", async () => {
    const { clock, send } = createStartedGate();
    await clock.advance(learnWithinMs - 1);
    const before = await send("first");
    await clock.advance(1);
    expect([before, await send("second")]).toEqual(["notRun notReady", "running"]);
});
