import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { createEngineOrders } from "./createEngineOrders.js";
import { createEngineRequests } from "./createEngineRequests.js";
import { createGenerations } from "./createGenerations.js";
import { createLaggingLoad } from "./createLaggingLoad.js";
import type { FakeEngineControl } from "./FakeEngineControl.js";
import type { FakeEngineOptions } from "./FakeEngineOptions.js";
import type { Generation } from "./Generation.js";

const defaultCrashDelayMs = 50;

/**
 * Creates an in-memory engine with continuous batching. `FakeEngineOptions` sets its speed and capabilities,
 * `FakeEngineControl` injects faults.
 */
export function createFakeEngine(
    options: FakeEngineOptions,
): { engine: EnginePort; control: FakeEngineControl; } {
    const { clock, random, restartAfterMs, maxBatch = 16, tokensPerSecond = 100 } = options;
    const statesFingerprint = options.statesFingerprint ?? true;
    const endedEngineMs = new Map<AttemptId, number>();
    const startsByAttempt = new Map<AttemptId, number>();
    const load = createLaggingLoad(clock, options.reportLagMs ?? 0);
    let isCrashInducing: (request: EngineRequest) => boolean = () => false;
    let crashDelayMs = defaultCrashDelayMs;
    let bootId = random.nextId();
    let up = true;
    let crashes = 0;

    const versionOf = (policy: PolicyId): number | undefined =>
        orders.served().find(entry => entry.policy === policy)?.version;

    function recordStart(generation: Generation): void {
        const { attempt } = generation.request;
        startsByAttempt.set(attempt, (startsByAttempt.get(attempt) ?? 0) + 1);
        if (isCrashInducing(generation.request)) {
            const bootIdAtStart = bootId;
            clock.startTimer(crashDelayMs, () => bootIdAtStart === bootId && crash());
        }
    }

    const engineMsOf = (generation: Generation): number =>
        (endedEngineMs.get(generation.request.attempt) ?? 0) + (generation.item?.engineMs ?? 0);

    const generations = createGenerations({
        options,
        fingerprintOf: request =>
            statesFingerprint ? `${request.policy}@${versionOf(request.policy)}` : undefined,
        onStart: recordStart,
        onEnd: generation => void endedEngineMs.set(generation.request.attempt, engineMsOf(generation)),
        onLoadChange: () => load.record(generations.load()),
    });
    const orders = createEngineOrders({
        options,
        generations,
        isCurrentBoot: expectedBootId => up && expectedBootId === bootId,
    });
    const requests = createEngineRequests({
        generations,
        serves: policy => versionOf(policy) !== undefined,
    });

    function crash(): void {
        if (!up) {
            return;
        }
        up = false;
        crashes++;
        requests.clearExportable();
        generations.setPaused(true);
        // Waiting generations are ended first, so that none of them starts when a running one ends.
        generations.all().reverse().forEach(generation => generations.finish(generation, "crashed"));
        generations.clearCache();
        if (restartAfterMs !== undefined) {
            clock.startTimer(restartAfterMs, () => restart());
        }
    }

    function restart(served = orders.served()): void {
        if (up) {
            return;
        }
        up = true;
        bootId = random.nextId();
        orders.reset(served);
        generations.setPaused(false);
    }

    /** Wraps a call so that it rejects with `engineUnreachable` while the engine is down. */
    const rejectWhileDown =
        <Args extends unknown[], T>(run: (...args: Args) => Promise<T>) => async (...args: Args) => {
            if (!up) {
                throw new ResultError(resultCodes.engineUnreachable);
            }
            return run(...args);
        };

    function readEngineMs(): Map<AttemptId, number> {
        const all = new Map(endedEngineMs);
        generations.busyMs();
        generations.all().forEach(running => all.set(running.request.attempt, engineMsOf(running)));
        return all;
    }

    const engine: EnginePort = {
        generate: rejectWhileDown(requests.generate),
        cancel: rejectWhileDown(async attempt => requests.cancel(attempt)),
        order: rejectWhileDown(order => orders.execute(order, bootId)),
        describe: rejectWhileDown(async () => ({
            bootId,
            served: structuredClone(orders.served()),
            maxBatch,
            tokensPerSecond,
            honoursFencing: options.honoursFencing ?? true,
        })),
        readLoad: rejectWhileDown(async () => load.read()),
        exportCache: rejectWhileDown(requests.exportCache),
        importCache: rejectWhileDown(requests.importCache),
    };

    const control: FakeEngineControl = {
        crash,
        restart,
        isUp: () => up,
        crashOn: (predicate, afterMs = defaultCrashDelayMs) => {
            isCrashInducing = predicate;
            crashDelayMs = afterMs;
        },
        failNextLoad: orders.failNextLoad,
        setServedVersion: orders.serve,
        served: () => structuredClone(orders.served()),
        engineMsByAttempt: readEngineMs,
        busyMs: generations.busyMs,
        crashes: () => crashes,
        bootId: () => bootId,
        startsByAttempt: () => new Map(startsByAttempt),
        loads: orders.loads,
    };
    return { engine, control };
}
