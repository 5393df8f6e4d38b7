import { createUsageCounters } from "@auburnarch/account/createUsageCounters";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { createAdaptiveLimit } from "./createAdaptiveLimit.js";
import { createAttemptTable } from "./createAttemptTable.js";
import { createFencingTable } from "./createFencingTable.js";
import { createPlainHealth } from "./createPlainHealth.js";
import { createQuarantine } from "./createQuarantine.js";
import { createServedWeights } from "./createServedWeights.js";
import { createSlots } from "./createSlots.js";
import { createSuspects } from "./createSuspects.js";
import { createTrialHold } from "./createTrialHold.js";
import type { GateContext } from "./GateContext.js";
import type { GateDeps } from "./GateDeps.js";
import type { GateGuards } from "./GateGuards.js";

const defaultLimits = { maxQueuedPerTeam: 1_000, interactiveWaitMs: 250 };
/** An engine takes one generation at a time until it has been described. */
const undescribedLimit = 1;
const plainLimits = { startLimit: 64, maxLimit: 1_024, minLimit: 4, baselineMs: 5, learnsBaseline: true };
const engineLimits = {
    startLimit: undescribedLimit,
    maxLimit: undescribedLimit,
    minLimit: 1,
    baselineMs: 1_000,
    learnsBaseline: false,
};
const maxSlowdownRatio = 4;

/** Builds the parts of a gate and joins them. */
export function createContext(
    deps: GateDeps,
    guards: GateGuards,
    manifest: () => VersionedManifest | undefined,
): GateContext {
    const { clock, engine, identity, logger } = deps;
    const nowMs = clock.monotonicMs;
    const incarnation = deps.random.nextId() as IncarnationId;
    const startLimits = engine === undefined ? plainLimits : engineLimits;
    const limit = createAdaptiveLimit({ nowMs, maxSlowdownRatio, ...startLimits });
    const limits = (): GateContext["limits"] extends () => infer L ? L : never =>
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
    const generations: GateContext["generations"] = new Set();
    const flags = { informed: false, leaving: false, shuttingDown: false, killed: false };
    const informedFromMs = nowMs() + (deps.learnWithinMs ?? 0);
    let describedBootId: string | undefined;

    /** Called at each heartbeat: a limit that has adapted is kept until the engine is another. */
    function onSettled(description: EngineDescription): void {
        if (describedBootId !== description.bootId) {
            describedBootId = description.bootId;
            limit.reset(Math.max(1, description.maxBatch), 1_000 / Math.max(1, description.tokensPerSecond));
            slots.wake();
        }
    }

    function onRestart(bootId: string): void {
        suspects.noteDeath(bootId);
        for (const generation of [...generations]) {
            if (generation.bootId === bootId) {
                generation.engineLost();
            }
        }
    }

    function onServedChanged(): void {
        for (const generation of [...generations]) {
            if (!generation.stamped) {
                generation.weightsLost();
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
        quarantine: createQuarantine({
            wallMs: clock.wallMs,
            isForward: (present, offered) => {
                const passes = guards.configForward(present, offered);
                const forward = !passes || offered > present;
                deps.invariants.check(resultCodes.configReverted, forward, {
                    document: "quarantine",
                    offered,
                });
                return passes;
            },
        }),
        suspects,
        limit,
        slots,
        trials: createTrialHold({ clock, logger, guards, slots }),
        usage: createUsageCounters(identity.sampler, incarnation),
        weights: engine === undefined
            ? undefined
            : createServedWeights({ clock, logger, engine, onRestart, onServedChanged, onSettled }),
        plainHealth: createPlainHealth({ nowMs, suspects, incarnation }),
        inFlight: new Set(),
        generations,
    };
}

function createShares(manifest: () => VersionedManifest | undefined): (team: string) => number {
    let known: VersionedManifest | undefined;
    let shares = new Map<string, number>();
    return team => {
        const present = manifest();
        if (present === undefined) {
            return 1;
        }
        if (present !== known) {
            known = present;
            shares = new Map(present.manifest.teams.map(entry => [entry.team, entry.share]));
        }
        return shares.get(team) ?? 0;
    };
}
