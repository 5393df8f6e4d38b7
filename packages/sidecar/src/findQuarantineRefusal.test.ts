import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { createSidecarFixture } from "./testing/createSidecarFixture.js";

const record = (digest: string, vms: string[]): QuarantineRecord => ({
    digest: digest as ContentDigest,
    deaths: vms.map(vm => ({ vm: vm as VmId, bootId: `boot-${vm}`, atMs: 1_700_000_000_000 })),
    expiresAtMs: 1_800_000_000_000,
    liftedAtMs: undefined,
});

async function createReadySidecar() {
    const setup = createSidecarFixture({});
    await setup.clock.advance(1_500);
    async function code(attempt: SampleAttempt): Promise<string> {
        let ended = "running";
        void setup.sidecar.runSample(attempt, () => undefined, new AbortController().signal).then(outcome => {
            ended = outcome.kind === "ran" ? "ran" : outcome.code.name;
        });
        await setup.clock.advance(1);
        return ended;
    }
    return { ...setup, code };
}

test("two contents that a crash counts against do not run at one sampler at once", async () => {
    // Guards against a whole group that is refused everywhere for a day, so that its step never completes.
    const { sidecar, clock, attempt, code } = await createReadySidecar();
    sidecar.offerQuarantine(1, [record("digest-group", ["vm-a"]), record("digest-killer", ["vm-a"])]);
    expect(await code(attempt("group"))).toBe("running");
    expect(await code(attempt("killer"))).toBe("overloaded");
    expect(await code(attempt("other"))).toBe("running");
    await clock.advance(10_000);
    expect(await code(attempt("killer-2", { digest: "digest-killer" }))).toBe("running");
});

test("two contents with the same two crashes are not refused, until a third crash counts against one of them", async () => {
    const { sidecar, clock, attempt, code } = await createReadySidecar();
    const both = ["vm-a", "vm-b"];
    sidecar.offerQuarantine(1, [record("digest-group", both), record("digest-killer", both)]);
    expect(await code(attempt("group"))).toBe("running");
    expect(await code(attempt("killer"))).toBe("overloaded");
    await clock.advance(10_000);
    sidecar.offerQuarantine(2, [record("digest-group", both), record("digest-killer", [...both, "vm-c"])]);
    expect(await code(attempt("killer-2", { digest: "digest-killer" }))).toBe("quarantined");
    expect(await code(attempt("group-2", { digest: "digest-group" }))).toBe("running");
});

test("a content with two crashes that no other suspect explains is refused", async () => {
    const { sidecar, attempt, code } = await createReadySidecar();
    sidecar.offerQuarantine(1, [record("digest-killer", ["vm-a", "vm-b"]), record("digest-group", ["vm-b"])]);
    expect(await code(attempt("killer"))).toBe("quarantined");
    expect(await code(attempt("group"))).toBe("running");
});

test("two contents with crashes on the same VMs at different times do not excuse each other", async () => {
    // Guards against a quarantined content that is released and crashes three more engines.
    const { sidecar, attempt, code } = await createReadySidecar();
    const second = record("digest-second", ["vm-a", "vm-b"]);
    second.deaths.forEach(death => {
        death.bootId += "-later";
    });
    sidecar.offerQuarantine(1, [record("digest-first", ["vm-a", "vm-b"]), second]);
    expect(await code(attempt("first"))).toBe("quarantined");
    expect(await code(attempt("second"))).toBe("quarantined");
});
