import type { Clock } from "@auburnarch/types/Clock";
import type { EngineDescription } from "@auburnarch/types/EngineDescription";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { ServedWeights } from "./ServedWeights.js";
import { withTimeout } from "./withTimeout.js";

interface ServedWeightsDeps {
    clock: Clock;
    logger: Logger;
    engine: EnginePort;
    /** Called when the engine is another incarnation than before: whatever ran on `bootId` has crashed. */
    onRestart: (bootId: string) => void;
    /** Called when weights changed without an order: the version of what runs unstamped is no longer known. */
    onServedChanged: () => void;
    onDescribed: (description: EngineDescription) => void;
}

interface Swap {
    policy: PolicyId;
    version: WeightVersion;
}

const heartbeatMs = 1_000;
const describeTimeoutMs = 5_000;

/**
 * Creates the tracking of an engine's weights; the engine is described at each heartbeat. After an unexpected boot id
 * or version, as when an engine restarts with an old image, no sample starts until the served version is known again.
 */
export function createServedWeights(deps: ServedWeightsDeps): ServedWeights {
    const { clock, logger, engine } = deps;
    const served = new Map<PolicyId, WeightVersion>();
    let state: "ready" | "swapping" | "unknownVersion" | "engineDown" = "unknownVersion";
    let description: EngineDescription | undefined;
    let swap: Swap | undefined;
    let stampsAllChunks: boolean | undefined;
    let stopped = false;
    /** Incremented whenever the answer to an earlier request is out of date. */
    let epoch = 0;
    let cancelTimer = (): void => {};

    function setState(next: typeof state, reason: string): void {
        epoch++;
        if (state !== next) {
            logger.info("engineState", { from: state, to: next, reason });
            state = next;
        }
    }

    function differences(reported: EngineDescription): string[] {
        const changes: string[] = [];
        const reportedVersions = new Map(reported.served.map(entry => [entry.policy, entry.version]));
        for (const [policy, version] of served) {
            if (reportedVersions.get(policy) !== version) {
                changes.push(`${policy}@${version}->${reportedVersions.get(policy) ?? "none"}`);
            }
        }
        for (const [policy, version] of reportedVersions) {
            if (!served.has(policy)) {
                changes.push(`${policy}@none->${version}`);
            }
        }
        return changes;
    }

    function handleDifferences(reported: EngineDescription): void {
        const first = description === undefined;
        const restarted = !first && description!.bootId !== reported.bootId;
        if (restarted) {
            logger.warn("engineRestarted", { bootId: reported.bootId, before: description!.bootId });
            deps.onRestart(description!.bootId);
        }
        const changes = differences(reported);
        if (!first && changes.length > 0) {
            logger.warn("servedVersionCorrected", { changes: changes.join(","), state });
            if (!restarted) {
                deps.onServedChanged();
            }
        }
    }

    function applyDescription(reported: EngineDescription): void {
        handleDifferences(reported);
        served.clear();
        for (const entry of reported.served) {
            served.set(entry.policy, entry.version);
        }
        description = reported;
        setState("ready", "described");
        deps.onDescribed(reported);
    }

    async function describe(): Promise<void> {
        const requestEpoch = epoch;
        try {
            const reported = await withTimeout(clock, describeTimeoutMs, engine.describe());
            // A state change since the request makes its answer out of date.
            if (requestEpoch === epoch && state !== "swapping" && !stopped) {
                applyDescription(reported);
            }
        }
        catch {
            if (requestEpoch === epoch && state !== "swapping") {
                setState("engineDown", "describeFailed");
            }
        }
    }

    function scheduleHeartbeat(): void {
        cancelTimer = clock.startTimer(heartbeatMs, () => void heartbeat());
    }

    async function heartbeat(): Promise<void> {
        if (state !== "swapping") {
            await describe();
        }
        if (!stopped) {
            scheduleHeartbeat();
        }
    }

    void heartbeat();

    return {
        state: () => state,
        versionOf: policy => served.get(policy),
        served: () => [...served].map(([policy, version]) => ({ policy, version })),
        description: () => description,
        isExpected: (policy, version) =>
            (state !== "unknownVersion" && served.get(policy) === version)
            || (swap !== undefined && swap.policy === policy && swap.version === version),
        stampsChunks: () => stampsAllChunks,
        recordChunk: stamped => {
            stampsAllChunks = stamped && stampsAllChunks !== false;
        },
        beginSwap: (policy, version) => {
            swap = { policy, version };
            setState("swapping", `${policy}@${version}`);
        },
        endSwap: succeeded => {
            if (succeeded && swap !== undefined) {
                served.set(swap.policy, swap.version);
            }
            swap = undefined;
            setState("ready", succeeded ? "swapped" : "notSwapped");
        },
        markUnknown: reason => {
            swap = undefined;
            setState("unknownVersion", reason);
        },
        markEngineDown: reason => {
            swap = undefined;
            setState("engineDown", reason);
        },
        describe,
        stop: () => {
            stopped = true;
            cancelTimer();
        },
    };
}
