import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import { createSidecar } from "@auburnarch/sidecar/createSidecar";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import type { VmId } from "@auburnarch/types/VmId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createReportFeed } from "./createReportFeed.js";
import type { EngineMeter } from "./EngineMeter.js";
import { policyOf } from "./policyOf.js";
import type { Scenario } from "./Scenario.js";
import { withNetwork } from "./withNetwork.js";
import type { Workload } from "./Workload.js";

interface FleetDeps {
    scenario: Scenario;
    workload: Workload;
    manifest: VersionedManifest;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    meter: EngineMeter;
}

interface FleetSampler {
    id: SamplerId;
    sidecar: Sidecar;
    control: FakeEngineControl;
    port: SidecarPort;
    /** No message passes to or from the VM until `ms`. */
    freezeUntil(ms: number): void;
}

interface Fleet {
    samplers: FleetSampler[];
    listSamplers(): SamplerView[];
    sidecar(sampler: SamplerId): SidecarPort;
    violations(): number;
    stop(): void;
}

const fencing = 1 as FencingNumber;
const domains = ["north", "south"];
/** The prompt of an interactive request starts with its number of tokens. */
const interactiveTokens = /^tokens (\d+)/;

/** Creates the engines, sidecars and report feeds of a scenario: real sidecars with fake engines. */
export function createFleet(deps: FleetDeps): Fleet {
    const { scenario, workload, clock, random, meter, logger, metrics } = deps;
    const invariants = createInvariants(logger, () => {});
    const { weightStore } = createFakeWeightStore({ clock, ...scenario.weightStore });
    const served = scenario.jobs.map(job => ({ policy: policyOf(job.job), version: 0 as WeightVersion }));

    function lengthOf(request: { prompt: string; seed: number; }): number {
        const interactive = interactiveTokens.exec(request.prompt)?.[1];
        return interactive === undefined ? workload.tokensOf.get(request.seed)! : Number(interactive);
    }

    function createSampler(group: Scenario["samplers"][number], index: number) {
        const { count: _count, ...speed } = group;
        const { engine, control } = createFakeEngine({
            clock,
            random: random.fork(),
            served,
            chunkMs: scenario.chunkMs,
            lengthOf,
            ...speed,
        });
        const id = `sampler-${index}` as SamplerId;
        const sidecar = createSidecar({
            identity: {
                sampler: id,
                vm: `vm-${index}` as VmId,
                address: "",
                failureDomain: domains[index % domains.length] as FailureDomain,
                region: "bench" as Region,
                service: "rollout" as ServiceId,
            },
            clock,
            random: random.fork(),
            logger,
            metrics,
            invariants,
            engine: meter.wrap(engine),
            backend: undefined,
            weightStore,
            readFencing: async () => fencing,
        });
        sidecar.offerManifest(deps.manifest);
        let frozenUntilMs = 0;
        const port = withNetwork(sidecar, clock, scenario.network.delayMs, () => frozenUntilMs);
        let isKilled = false;
        const isSilent = (): boolean => isKilled || frozenUntilMs > clock.monotonicMs();
        const feed = createReportFeed(sidecar, clock, random.fork(), scenario.reports, isSilent);
        const kill = (): void => {
            isKilled = true;
            control.crash();
            sidecar.kill();
        };
        const freezeUntil = (ms: number): void => {
            frozenUntilMs = ms;
        };
        return { id, sidecar: { ...sidecar, kill }, control, port, freezeUntil, feed };
    }

    const groups = scenario.samplers.flatMap(group => Array.from({ length: group.count }, () => group));
    const samplers = groups.map(createSampler);
    const byId = new Map(samplers.map(sampler => [sampler.id, sampler]));
    return {
        samplers,
        listSamplers: () => samplers.flatMap(sampler => sampler.feed.view() ?? []),
        sidecar: sampler => byId.get(sampler)!.port,
        violations: () => invariants.violations(),
        stop: () =>
            samplers.forEach(sampler => {
                sampler.feed.stop();
                sampler.sidecar.kill();
            }),
    };
}
