import type { Settings } from "@auburnarch/config/Settings";
import { validateSettings } from "@auburnarch/config/validateSettings";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerManifest } from "@auburnarch/types/SamplerManifest";
import type { VmId } from "@auburnarch/types/VmId";
import { join } from "node:path";
import type { ExternalFakes } from "./ExternalFakes.js";
import type { ExternalFakesPlan } from "./ExternalFakesPlan.js";
import type { ProcessContext } from "./ProcessContext.js";
import type { RunningProcess } from "./RunningProcess.js";
import type { Standalone } from "./Standalone.js";
import { startEntry } from "./startEntry.js";
import { startExternalFakes } from "./startExternalFakes.js";
import { startSidecar } from "./startSidecar.js";

const shutdownDeadlineMs = 5_000;

interface StandaloneOptions {
    plan: ExternalFakesPlan;
    context: ProcessContext;
    manifestPath: string;
    dataFolder: string | undefined;
    /** Port of the first entry; 0 lets the system choose. */
    port: number;
}

function requireValidSettings(json: Record<string, unknown>): Settings {
    const checked = validateSettings(json);
    if (checked.kind === "invalid") {
        const faults = checked.faults.map(fault => `${fault.path}: ${fault.message}`);
        throw new ResultError(resultCodes.settingsInvalid, faults.join("; "));
    }
    return checked.settings;
}

function sharedSettings(
    externalFakes: ExternalFakes,
    region: string,
    clusterToken: string,
): Record<string, unknown> {
    return {
        region,
        listenHost: "127.0.0.1",
        listenPort: 0,
        objectApiUrl: externalFakes.objectApiUrl,
        vmListUrl: externalFakes.vmListUrl,
        weightStoreUrl: externalFakes.weightStoreUrl,
        clusterToken,
        shutdownDeadlineMs,
    };
}

/** Starts fakes, entries and sidecars in this process; each has its own settings and they communicate over HTTP. */
export async function startStandalone(options: StandaloneOptions): Promise<Standalone> {
    const { plan, context } = options;
    const { random } = context;
    const domains = [...new Set(plan.manifest.samplers.map(each => each.failureDomain))];
    const [clusterToken, operatorToken, cursorKey] = [random.nextId(), random.nextId(), random.nextId()];
    const externalFakes = await startExternalFakes(plan, context);
    const shared = sharedSettings(externalFakes, plan.region, clusterToken);
    const entries: RunningProcess[] = [];

    function addToVmList(
        process: RunningProcess,
        role: "entry" | "sidecar",
        domain: FailureDomain,
        sampler?: SamplerManifest,
    ) {
        externalFakes.addVm({
            vm: `vm-${process.name}` as VmId,
            address: process.address,
            failureDomain: domain,
            region: plan.region as Region,
            role,
            sampler: sampler?.sampler,
            state: "live",
        });
    }

    for (let index = 0; index < plan.entries; index++) {
        const failureDomain = domains[index % domains.length]!;
        const name = `entry-${index + 1}`;
        const entry = await startEntry(
            requireValidSettings({
                ...shared,
                name,
                role: "entry",
                vm: `vm-${name}`,
                failureDomain,
                listenPort: index === 0 ? options.port : 0,
                scoringUrl: externalFakes.scoringUrl,
                cursorKey,
                operatorToken,
                seeds: entries.map(each => each.address),
                manifestPath: index === 0 ? options.manifestPath : undefined,
                dataFolder: options.dataFolder === undefined ? undefined : join(options.dataFolder, name),
            }),
            { ...context, random: random.fork() },
        );
        entries.push(entry);
        addToVmList(entry, "entry", failureDomain);
    }

    async function startOne(sampler: SamplerManifest): Promise<RunningProcess> {
        const { sampler: name, service, failureDomain } = sampler;
        const sidecar = await startSidecar(
            requireValidSettings({
                ...shared,
                name: `sidecar-${name}`,
                role: "sidecar",
                vm: `vm-sidecar-${name}`,
                failureDomain,
                sampler: name,
                service,
                engineUrl: externalFakes.engineUrls.get(name),
                backendUrl: externalFakes.backendUrls.get(name),
                seeds: entries.map(each => each.address),
            }),
            { ...context, random: random.fork() },
        );
        addToVmList(sidecar, "sidecar", failureDomain, sampler);
        return sidecar;
    }

    const sidecars = await Promise.all(plan.manifest.samplers.map(startOne));
    return {
        externalFakes,
        entries,
        sidecars,
        operatorToken,
        clusterToken,
        shutdown: async () => {
            await Promise.all(entries.map(each => each.shutdown()));
            await Promise.all(sidecars.map(each => each.shutdown()));
            await externalFakes.close();
        },
    };
}
