import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FakeClock } from "@auburnarch/clock/FakeClock";
import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import type { FakeEngineOptions } from "@auburnarch/fakes/FakeEngineOptions";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Region } from "@auburnarch/types/Region";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerIdentity } from "@auburnarch/types/SamplerIdentity";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { VmId } from "@auburnarch/types/VmId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createSidecar } from "../createSidecar.js";
import type { Sidecar } from "../Sidecar.js";
import type { SidecarDependencies } from "../SidecarDependencies.js";
import type { SidecarGuards } from "../SidecarGuards.js";

interface SidecarFixtureOptions {
    engine?: Partial<FakeEngineOptions>;
    backend?: PlainBackend;
    guards?: SidecarGuards;
    /** Fencing number of the job's lease in the object API; a rejection simulates an outage. */
    readFencing?: () => Promise<number>;
    clock?: FakeClock;
    sampler?: string;
    initialConfigWaitMs?: number;
}

interface SidecarFixture {
    sidecar: Sidecar;
    clock: FakeClock;
    control: ReturnType<typeof createFakeEngine>["control"];
    lines: string[];
    invariants: Invariants;
    /** An attempt that generates up to 64 tokens of policy `plume`, changed by `overrides`. */
    attempt: (id: string, overrides?: Partial<Record<keyof SampleAttempt, unknown>>) => SampleAttempt;
    /** An order to load a version of policy `plume`. */
    load: (version: number, fencing: number) => SamplerOrder;
}

const policy = "plume" as PolicyId;
const job = "job" as JobId;

function identityOf(sampler: string): SamplerIdentity {
    return {
        sampler: sampler as SamplerId,
        vm: `vm-${sampler}` as VmId,
        address: "http://127.0.0.1:1",
        failureDomain: "Lugo" as FailureDomain,
        region: "norte" as Region,
        service: "model" as ServiceId,
    };
}

const makeAttempt: SidecarFixture["attempt"] = (id, overrides) => ({
    attempt: id as AttemptId,
    sample: `job/0/0/${id}` as SampleId,
    job,
    team: "team" as TeamId,
    policy,
    fencing: 5 as FencingNumber,
    minVersion: 1 as WeightVersion,
    prompt: `prompt ${id}`,
    maxTokens: 64,
    priority: 50,
    seed: 1,
    digest: `digest-${id}` as ContentDigest,
    budgetMs: 60_000,
    resume: [],
    ...overrides as Partial<SampleAttempt>,
});

const makeLoad: SidecarFixture["load"] = (version, fencing) => ({
    scope: job,
    order: {
        kind: "load",
        policy,
        version: version as WeightVersion,
        location: `weights/${version}`,
        fencing: fencing as FencingNumber,
    },
});

/**
 * Creates a sidecar with a fake engine that serves `plume@1`, under a fake clock. The engine is described once `clock`
 * has advanced.
 */
export function createSidecarFixture(options: SidecarFixtureOptions = {}): SidecarFixture {
    const clock = options.clock ?? createFakeClock();
    const lines: string[] = [];
    const logger = createLogger(clock, line => lines.push(line));
    const invariants = createInvariants(logger, () => {});
    const { engine, control } = createFakeEngine({
        clock,
        random: createRandom(7),
        served: [{ policy, version: 1 as WeightVersion }],
        lengthOf: () => 64,
        ...options.engine,
    });
    const deps: SidecarDependencies = {
        initialConfigWaitMs: options.initialConfigWaitMs,
        identity: identityOf(options.sampler ?? "s1"),
        clock,
        random: createRandom(8),
        logger,
        metrics: createMetrics(),
        invariants,
        engine: options.backend === undefined ? engine : undefined,
        backend: options.backend,
        weightStore: async () => {},
        readFencing: async () => (await (options.readFencing ?? (async () => 5))()) as FencingNumber,
    };
    const sidecar = createSidecar(deps, options.guards);
    return { sidecar, clock, control, lines, invariants, attempt: makeAttempt, load: makeLoad };
}
