import { validateSettings } from "@auburnarch/config/validateSettings";
import { createHash, randomBytes } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { PathProcesses } from "./PathProcesses.js";
import type { RoleProcess } from "./RoleProcess.js";
import type { RoleSpec } from "./RoleSpec.js";
import { startRole } from "./startRole.js";

const enginePairs = 4;
const secretBytes = 24;
const failureDomain = "Lugo";
const secret = (): string => randomBytes(secretBytes).toString("hex");

const modelName = (index: number): string => `model-${index + 1}`;

function manifestFor(token: string): unknown {
    const models = Array.from({ length: enginePairs }, (_, index) => modelName(index));
    return {
        name: "path",
        teams: [{
            team: "bench",
            share: 1,
            tokenDigests: [createHash("sha256").update(token).digest("hex")],
        }],
        services: [
            { service: "tiles", kind: "plain", repeatable: ["GET /"] },
            { service: "model", kind: "rollout" },
        ],
        samplers: [
            { sampler: "tiles-1", service: "tiles", failureDomain },
            ...models.map(sampler => ({ sampler, service: "model", failureDomain })),
        ],
        // All streams belong to one team; the default limit would not admit that many.
        limits: { maxQueuedPerTeam: 4_096 },
    };
}

function daemonSpec(json: Record<string, unknown>): RoleSpec {
    const checked = validateSettings(json);
    if (checked.kind === "invalid") {
        throw new Error(checked.faults.map(fault => `${fault.path}: ${fault.message}`).join("; "));
    }
    return { role: "daemon", settings: checked.settings };
}

/**
 * Starts the fake services, an entry, one sidecar for the plain service and four for engines, each in its own process.
 */
export async function startPath(): Promise<PathProcesses> {
    const started: RoleProcess[] = [];
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-path-"));
    const manifestPath = join(folder, "manifest.json");
    const token = secret();
    await writeFile(manifestPath, JSON.stringify(manifestFor(token)));

    async function start(name: string, spec: RoleSpec): Promise<RoleProcess> {
        const role = await startRole(name, spec);
        started.push(role);
        return role;
    }

    const shared = {
        region: "norte",
        failureDomain,
        listenHost: "127.0.0.1",
        listenPort: 0,
        objectApiUrl: (await start("objectApi", { role: "objectApi" })).address,
        vmListUrl: (await start("vmList", { role: "vmList" })).address,
        weightStoreUrl: (await start("weightStore", { role: "weightStore" })).address,
        clusterToken: secret(),
    };
    const scoringUrl = (await start("scoring", { role: "scoring" })).address;
    const entry = await start(
        "entry",
        daemonSpec({
            ...shared,
            name: "entry-1",
            vm: "vm-entry-1",
            role: "entry",
            scoringUrl,
            cursorKey: secret(),
            manifestPath,
        }),
    );

    const startSidecar = (sampler: string, service: string, backend: Record<string, string>) =>
        start(
            `sidecar-${sampler}`,
            daemonSpec({
                ...shared,
                ...backend,
                name: `sidecar-${sampler}`,
                vm: `vm-${sampler}`,
                role: "sidecar",
                sampler,
                service,
                seeds: [entry.address],
            }),
        );

    const plainService = await start("standIn", { role: "standIn" });
    const plainSidecar = await startSidecar("tiles-1", "tiles", { backendUrl: plainService.address });
    const engines: RoleProcess[] = [];
    const modelSidecars: RoleProcess[] = [];
    for (let index = 0; index < enginePairs; index++) {
        const engine = await start(`engine-${index + 1}`, { role: "engineStandIn" });
        engines.push(engine);
        modelSidecars.push(await startSidecar(modelName(index), "model", { engineUrl: engine.address }));
    }
    return {
        plainService,
        engines,
        plainSidecar,
        modelSidecars,
        entry,
        token,
        stop: async () => {
            await Promise.all(started.map(role => role.stop()));
            await rm(folder, { recursive: true });
        },
    };
}
