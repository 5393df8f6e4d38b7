import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { expect, test } from "vitest";
import { initialConfigWaitMs } from "./initialConfigWaitMs.js";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

const limits = { maxQueuedPerTeam: 1, interactiveWaitMs: 250 };
const manifest = { version: 1, manifest: { teams: [], limits } } as never;

const quarantineRecord: QuarantineRecord = {
    digest: "digest-killer" as never,
    deaths: ["vm-a", "vm-b"].map(vm => ({ vm: vm as never, bootId: vm, atMs: 1_700_000_000_000 })),
    expiresAtMs: 1_800_000_000_000,
    liftedAtMs: undefined,
};

function createStartedSidecar() {
    const { sidecar, clock, attempt } = createSidecarFixture({ initialConfigWaitMs });
    async function send(id: string, digest = `digest-${id}`): Promise<string> {
        let ended = "running";
        void sidecar.runSample(attempt(id, { digest }), () => undefined, new AbortController().signal).then(
            outcome => {
                ended = outcome.kind === "ran" ? "ran" : `${outcome.kind} ${outcome.code.name}`;
            },
        );
        await clock.advance(1);
        return ended;
    }
    return { sidecar, clock, send };
}

// Guards against a content with crashes on two VMs that crashes the engine of a sidecar that has just started.
test("a sidecar that has just started accepts work once it has received its configuration", async () => {
    const { sidecar, send } = createStartedSidecar();
    const before = await send("early killer", "digest-killer");
    sidecar.offerManifest(manifest);
    sidecar.offerQuarantine(1, [quarantineRecord]);
    expect([before, await send("killer"), await send("other")]).toEqual([
        "notRun notReady",
        "notRun quarantined",
        "running",
    ]);
});

test("a sidecar that receives no configuration accepts work after the waiting time", async () => {
    const { clock, send } = createStartedSidecar();
    await clock.advance(initialConfigWaitMs - 1);
    const before = await send("first");
    await clock.advance(1);
    expect([before, await send("second")]).toEqual(["notRun notReady", "running"]);
});
