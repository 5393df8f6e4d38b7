import { validateManifest } from "@auburnarch/config/validateManifest";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { createMemorySystem } from "./testing/createMemorySystem.js";

const listLagMs = 1_000;
const maxNoticeMs = 3_000;

function makeManifest(): Manifest {
    const checked = validateManifest({
        name: "leaving",
        teams: [{ team: "smoke", share: 1, tokenDigests: ["0".repeat(64)] }],
        services: [{ service: "tiles", kind: "plain", repeatable: ["GET /tiles"] }],
        samplers: Array.from({ length: 24 }, (_, index) => ({
            sampler: `tile-${index}`,
            service: "tiles",
            failureDomain: ["Lugo", "Burgos", "Bilbao"][index % 3],
        })),
        jobs: [],
    });
    if (checked.kind === "invalid") {
        throw new Error(JSON.stringify(checked.faults));
    }
    return checked.manifest;
}

test("the sidecar of a leaving VM refuses new work within 3 s after the VM list marks it", async () => {
    // Guards against requests that break off when a VM is removed.
    const manifest = makeManifest();
    const system = createMemorySystem(manifest, () => JSON.stringify(manifest), 5);
    await system.clock.advance(8_000);
    const late: string[] = [];
    for (const { sampler } of manifest.samplers.slice(0, 20)) {
        // Varies the phase relative to the polling intervals of all processes.
        await system.clock.advance(730);
        system.vms.markLeaving(`vm-sidecar-${sampler}` as VmId);
        system.clock.startTimer(listLagMs + maxNoticeMs, () => {
            if (system.samplers.get(sampler)!.sidecar.report().state !== "leaving") {
                late.push(sampler);
            }
        });
    }
    await system.clock.advance(listLagMs + maxNoticeMs);
    expect(late).toEqual([]);
    expect(system.violations).toEqual([]);
});
