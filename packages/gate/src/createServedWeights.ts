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
    /** The engine is another incarnation than before: whatever ran on `bootId` is dead. */
    onRestart: (bootId: string) => void;
    /** Weights changed without an order: what runs unstamped cannot be named any more. */
    onServedChanged: () => void;
    onSettled: (description: EngineDescription) => void;
}

interface Swap {
    policy: PolicyId;
    version: WeightVersion;
}

const heartbeatMs = 1_000;
const describeTimeoutMs = 5_000;

/**
 * Makes the watch over an engine's weights, which is described at each heartbeat. After another boot id or version than
 * expected, as when an engine restarts with an old image, no sample starts until the served version is known again.
 */
export function createServedWeights(deps: ServedWeightsDeps): ServedWeights {
    const { clock, logger, engine } = deps;
    const served = new Map<PolicyId, WeightVersion>();
    let state: "ready" | "swapping" | "unknownVersion" | "engineDown" = "unknownVersion";
    let description: EngineDescription | undefined;
    let swap: Swap | undefined;
    let stamps: boolean | undefined;
    let stopped = false;
    /** Grows whenever an answer to an earlier question would no longer be true. */
    let epoch = 0;
    let cancelTimer = (): void => {};

    function enter(next: typeof state, reason: string): void {
        epoch++;
        if (state !== next) {
            logger.info("engineState", { from: state, to: next, reason });
            state = next;
        }
    }

    function differences(told: EngineDescription): string[] {
        const found: string[] = [];
        const toldVersions = new Map(told.served.map(entry => [entry.policy, entry.version]));
        for (const [policy, version] of served) {
            if (toldVersions.get(policy) !== version) {
                found.push(`${policy}@${version}->${toldVersions.get(policy) ?? "none"}`);
            }
        }
        for (const [policy, version] of toldVersions) {
            if (!served.has(policy)) {
                found.push(`${policy}@none->${version}`);
            }
        }
        return found;
    }

    function noteDifferences(told: EngineDescription): void {
        const first = description === undefined;
        const restarted = !first && description!.bootId !== told.bootId;
        if (restarted) {
            logger.warn("engineRestarted", { bootId: told.bootId, before: description!.bootId });
            deps.onRestart(description!.bootId);
        }
        const changes = differences(told);
        if (!first && changes.length > 0) {
            logger.warn("servedVersionCorrected", { changes: changes.join(","), state });
            if (!restarted) {
                deps.onServedChanged();
            }
        }
    }

    function settle(told: EngineDescription): void {
        noteDifferences(told);
        served.clear();
        for (const entry of told.served) {
            served.set(entry.policy, entry.version);
        }
        description = told;
        enter("ready", "described");
        deps.onSettled(told);
    }

    async function describe(): Promise<void> {
        const askedEpoch = epoch;
        try {
            const told = await withTimeout(clock, describeTimeoutMs, engine.describe());
            // A swap or doubt since the question makes the answer a thing of the past.
            if (askedEpoch === epoch && state !== "swapping" && !stopped) {
                settle(told);
            }
        }
        catch {
            if (askedEpoch === epoch && state !== "swapping") {
                enter("engineDown", "describeFailed");
            }
        }
    }

    function beat(): void {
        cancelTimer = clock.startTimer(heartbeatMs, () => void describeAndBeat());
    }

    async function describeAndBeat(): Promise<void> {
        if (state !== "swapping") {
            await describe();
        }
        if (!stopped) {
            beat();
        }
    }

    void describeAndBeat();

    return {
        state: () => state,
        versionOf: policy => served.get(policy),
        served: () => [...served].map(([policy, version]) => ({ policy, version })),
        description: () => description,
        isExpected: (policy, version) =>
            (state !== "unknownVersion" && served.get(policy) === version)
            || (swap !== undefined && swap.policy === policy && swap.version === version),
        stampsChunks: () => stamps,
        noteChunk: stamped => {
            stamps = stamped && stamps !== false;
        },
        beginSwap: (policy, version) => {
            swap = { policy, version };
            enter("swapping", `${policy}@${version}`);
        },
        endSwap: took => {
            if (took && swap !== undefined) {
                served.set(swap.policy, swap.version);
            }
            swap = undefined;
            enter("ready", took ? "swapped" : "notSwapped");
        },
        doubt: reason => {
            swap = undefined;
            enter("unknownVersion", reason);
        },
        noteDown: reason => {
            swap = undefined;
            enter("engineDown", reason);
        },
        describe,
        stop: () => {
            stopped = true;
            cancelTimer();
        },
    };
}
