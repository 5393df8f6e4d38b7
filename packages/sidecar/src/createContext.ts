import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { createUsageCounters } from "@auburnarch/usage/createUsageCounters";
import { createAdaptiveLimit } from "./createAdaptiveLimit.js";
import { createAttemptTable } from "./createAttemptTable.js";
import { createFencingTable } from "./createFencingTable.js";
import { createPlainHealth } from "./createPlainHealth.js";
import { createQuarantineList } from "./createQuarantineList.js";
import { createServedWeights } from "./createServedWeights.js";
import { createSlots } from "./createSlots.js";
import { createSuspects } from "./createSuspects.js";
import { createTrialReservation } from "./createTrialReservation.js";
import type { SidecarContext } from "./SidecarContext.js";
import type { SidecarDependencies } from "./SidecarDependencies.js";
import type { SidecarGuards } from "./SidecarGuards.js";

const defaultLimits = { maxQueuedPerTeam: 1_000, interactiveWaitMs: 250 };
/** An engine runs one generation at a time until it has been described. */
const limitBeforeDescription = 1;
const plainLimits = { startLimit: 64, maxLimit: 1_024, minLimit: 4, baselineMs: 5, learnsBaseline: true };
const engineLimits = {
    startLimit: limitBeforeDescription,
    maxLimit: limitBeforeDescription,
    minLimit: 1,
    baselineMs: 1_000,
    learnsBaseline: false,
};
const maxSlowdownRatio = 4;

/** Creates the parts of a sidecar and connects them. */
export function createContext(
    deps: SidecarDependencies,
    guards: SidecarGuards,
    manifest: () => VersionedManifest | undefined,
): SidecarContext {
    const { clock, engine, identity, logger } = deps;
    const nowMs = clock.monotonicMs;
    const incarnation = deps.random.nextId() as IncarnationId;
    const startLimits = engine === undefined ? plainLimits : engineLimits;
    const limit = createAdaptiveLimit({ nowMs, maxSlowdownRatio, ...startLimits });
    const limits = (): SidecarContext["limits"] extends () => infer L ? L : never =>
        manifest()?.manifest.limits ?? defaultLimits;
    const slots = createSlots({
        clock,
        logger,
        limit: limit.current,
        share: createShares(manifest),
        interactiveWaitMs: () => limits().interactiveWaitMs,
        mayStart: guards.deadline,
    });
    const suspects = createSuspects({ vm: identity.vm, nowMs });
    const generations: SidecarContext["generations"] = new Set();
    const flags = { informed: false, leaving: false, shuttingDown: false, killed: false };
    const informedFromMs = nowMs() + (deps.initialConfigWaitMs ?? 0);
    let describedBootId: string | undefined;

    /** Called at each heartbeat: an adapted limit is kept until the engine restarts. */
    function onDescribed(description: EngineDescription): void {
        if (describedBootId !== description.bootId) {
            describedBootId = description.bootId;
            limit.reset(Math.max(1, description.maxBatch), 1_000 / Math.max(1, description.tokensPerSecond));
            slots.startWaiting();
        }
    }

    function onRestart(bootId: string): void {
        suspects.recordCrash(bootId);
        for (const generation of [...generations]) {
            if (generation.bootId === bootId) {
                generation.onEngineCrash();
            }
        }
    }

    function onServedChanged(): void {
        for (const generation of [...generations]) {
            if (!generation.stamped) {
                generation.onWeightsUnknown();
            }
        }
    }

    return {
        deps,
        guards,
        incarnation,
        flags,
        isInformed: () => flags.informed || nowMs() >= informedFromMs,
        limits,
        attempts: createAttemptTable({ nowMs }),
        fencing: createFencingTable(deps.readFencing),
        quarantine: createQuarantineList({
            wallMs: clock.wallMs,
            isForward: (present, offered) => {
                const passes = guards.configForward(present, offered);
                const isForward = !passes || offered > present;
                deps.invariants.check(resultCodes.configReverted, isForward, {
                    document: "quarantine",
                    offered,
                });
                return passes;
            },
        }),
        suspects,
        limit,
        slots,
        trialReservation: createTrialReservation({ clock, logger, guards, slots }),
        usage: createUsageCounters(identity.sampler, incarnation),
        weights: engine === undefined
            ? undefined
            : createServedWeights({ clock, logger, engine, onRestart, onServedChanged, onDescribed }),
        plainHealth: createPlainHealth({ nowMs, suspects, incarnation }),
        inFlight: new Set(),
        generations,
    };
}

function createShares(manifest: () => VersionedManifest | undefined): (team: string) => number {
    let cachedManifest: VersionedManifest | undefined;
    let shares = new Map<string, number>();
    return team => {
        const present = manifest();
        if (present === undefined) {
            return 1;
        }
        if (present !== cachedManifest) {
            cachedManifest = present;
            shares = new Map(present.manifest.teams.map(entry => [entry.team, entry.share]));
        }
        return shares.get(team) ?? 0;
    };
}
