import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Lease } from "@auburnarch/types/Lease";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { createOwner } from "../createOwner.js";
import { defaultOwnerGuards } from "../defaultOwnerGuards.js";
import { createTestGroupStore } from "./createTestGroupStore.js";
import { createTestProcess } from "./createTestProcess.js";
import { createTestSidecar } from "./createTestSidecar.js";
import type { TestWorld } from "./TestWorld.js";

const limits = {
    maxBodyBytes: 1_000_000,
    maxQueuedPerTeam: 100,
    defaultDeadlineMs: 30_000,
    retryBudgetRatio: 0.5,
    maxSwappingRatio: 0.5,
    interactiveWaitMs: 100,
};

const defaultJob = {
    job: "humo",
    team: "humoboira",
    service: "rollout",
    policy: "plume",
    scoring: "score",
    groupSize: 2,
    samplesPerStep: 6,
    maxStalenessVersions: 1,
    stepNeedMs: 60_000,
    priority: 5,
    freshnessWeight: 0.5,
} as unknown as JobManifest;

interface TestWorldOptions {
    seed?: number;
    samplers?: number;
    job?: Partial<JobManifest>;
    storeLatencyMs?: number;
}

/** Creates a test world; all its randomness is derived from the seed. */
export function createTestWorld(options: TestWorldOptions = {}): TestWorld {
    const clock = createFakeClock();
    const random = createRandom(options.seed ?? 1);
    const job = { ...defaultJob, ...options.job };
    const { store, control } = createFakeObjectStore({
        clock,
        random: random.fork(),
        latencyMs: options.storeLatencyMs ?? 2,
    });
    const names = Array.from({ length: options.samplers ?? 2 }, (_, index) => `s${index + 1}` as SamplerId);
    const sidecars = names.map(name => createTestSidecar(clock, name, job));
    const { scoring } = createFakeScoring({ clock, latencyMs: 5 });
    const groupStore = createTestGroupStore();
    const lines: string[] = [];
    const violations: string[] = [];

    async function acquire(): Promise<FencingNumber> {
        const key = `leases/job/${job.job}`;
        for (;;) {
            const current = await store.read(key).catch(() => undefined);
            const value = { holder: "test", ttlMs: 10_000 };
            const outcome = await store.write(key, value, current?.version ?? 0 as ObjectVersion);
            if (outcome.kind === "written") {
                return outcome.version as number as FencingNumber;
            }
        }
    }

    const startOwner: TestWorld["startOwner"] = async (start = {}) => {
        const process = createTestProcess(clock);
        const hooks = {
            beforeCall: (name: string) => start.onCall?.("before", name, process),
            afterCall: (name: string) => start.onCall?.("after", name, process),
        };
        const lost = new AbortController();
        let isHeld = true;
        const lease: Lease = {
            key: `leases/job/${job.job}`,
            fencing: await acquire(),
            isHeld: () => isHeld,
            release: async () => undefined,
            lost: lost.signal,
        };
        const logger = createLogger(process.clock, line => lines.push(line));
        const deps = {
            job,
            limits: () => limits,
            lease,
            clock: process.clock,
            random: random.fork(),
            logger,
            metrics: createMetrics(),
            invariants: createInvariants(logger, code => void violations.push(code.name)),
            store: process.connect(store, hooks),
            listSamplers: () => sidecars.map(sidecar => sidecar.view()),
            sidecar: (sampler: SamplerId) => process.connect(sidecars[names.indexOf(sampler)]!.port, hooks),
            scoring: process.connect(scoring, hooks),
            groupStore: process.connect(groupStore, hooks),
            cursorKey: "test-key",
        };
        const changed = start.change?.(deps, process) ?? deps;
        const owner = await process.enter(() => createOwner(changed, start.guards ?? defaultOwnerGuards));
        return {
            owner: {
                ...owner,
                openStep: spec => process.enter(() => owner.openStep(spec)),
                publishWeights: weights => process.enter(() => owner.publishWeights(weights)),
                readGroups: (step, cursor, waitMs) =>
                    process.enter(() => owner.readGroups(step, cursor, waitMs)),
            },
            process,
            setHeld: held => {
                isHeld = held;
            },
            loseLease: () => lost.abort(),
        };
    };

    return {
        clock,
        store,
        control,
        job,
        sidecars,
        groupStore,
        lines,
        startOwner,
        violations: () => violations,
        engineMs: () => sidecars.reduce((sum, sidecar) => sum + sidecar.engineMs(), 0),
    };
}
