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

test("two contents that a death counts against do not run here at once", async () => {
    // Guards against: a whole group is refused everywhere for a day and its step never becomes whole.
    const { sidecar, clock, attempt, code } = await createReadySidecar();
    sidecar.offerQuarantine(1, [record("digest-group", ["vm-a"]), record("digest-killer", ["vm-a"])]);
    expect(await code(attempt("group"))).toBe("running");
    expect(await code(attempt("killer"))).toBe("overloaded");
    expect(await code(attempt("other"))).toBe("running");
    await clock.advance(10_000);
    expect(await code(attempt("killer-2", { digest: "digest-killer" }))).toBe("running");
});

test("of two contents that died together twice neither is refused, until a third death names one", async () => {
    const { sidecar: gate, clock, attempt, code } = await createReadySidecar();
    const both = ["vm-a", "vm-b"];
    gate.offerQuarantine(1, [record("digest-group", both), record("digest-killer", both)]);
    expect(await code(attempt("group"))).toBe("running");
    expect(await code(attempt("killer"))).toBe("overloaded");
    await clock.advance(10_000);
    gate.offerQuarantine(2, [record("digest-group", both), record("digest-killer", [...both, "vm-c"])]);
    expect(await code(attempt("killer-2", { digest: "digest-killer" }))).toBe("quarantined");
    expect(await code(attempt("group-2", { digest: "digest-group" }))).toBe("running");
});

test("a content with two deaths of its own is refused", async () => {
    const { sidecar: gate, attempt, code } = await createReadySidecar();
    gate.offerQuarantine(1, [record("digest-killer", ["vm-a", "vm-b"]), record("digest-group", ["vm-b"])]);
    expect(await code(attempt("killer"))).toBe("quarantined");
    expect(await code(attempt("group"))).toBe("running");
});

test("two contents that killed the same VMs at different times do not excuse each other", async () => {
    // Guards against: a convicted content is released and kills three more engines.
    const { sidecar: gate, attempt, code } = await createReadySidecar();
    const second = record("digest-second", ["vm-a", "vm-b"]);
    second.deaths.forEach(death => {
        death.bootId += "-later";
    });
    gate.offerQuarantine(1, [record("digest-first", ["vm-a", "vm-b"]), second]);
    expect(await code(attempt("first"))).toBe("quarantined");
    expect(await code(attempt("second"))).toBe("quarantined");
});
