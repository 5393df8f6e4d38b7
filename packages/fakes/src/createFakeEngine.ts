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

const defaultKillDelayMs = 50;

/** A continuous-batching engine in memory; see `FakeEngineOptions` for its model and `FakeEngineControl` for its faults. */
export function createFakeEngine(
    options: FakeEngineOptions,
): { engine: EnginePort; control: FakeEngineControl; } {
    const { clock, random, restartAfterMs, maxBatch = 16, tokensPerSecond = 100 } = options;
    const statesFingerprint = options.statesFingerprint ?? true;
    const spent = new Map<AttemptId, number>();
    const starts = new Map<AttemptId, number>();
    const load = createLaggingLoad(clock, options.reportLagMs ?? 0);
    let kills: (request: EngineRequest) => boolean = () => false;
    let killDelayMs = defaultKillDelayMs;
    let bootId = random.nextId();
    let up = true;
    let crashes = 0;

    const versionOf = (policy: PolicyId): number | undefined =>
        orders.served().find(entry => entry.policy === policy)?.version;

    function noteStart(generation: Generation): void {
        const { attempt } = generation.request;
        starts.set(attempt, (starts.get(attempt) ?? 0) + 1);
        if (kills(generation.request)) {
            const boot = bootId;
            clock.startTimer(killDelayMs, () => boot === bootId && crash());
        }
    }

    const spentBy = (generation: Generation): number =>
        (spent.get(generation.request.attempt) ?? 0) + (generation.item?.engineMs ?? 0);

    const generations = createGenerations({
        options,
        fingerprintOf: request =>
            statesFingerprint ? `${request.policy}@${versionOf(request.policy)}` : undefined,
        onStart: noteStart,
        onEnd: generation => void spent.set(generation.request.attempt, spentBy(generation)),
        onLoadChange: () => load.record(generations.load()),
    });
    const orders = createEngineOrders({ options, generations, isBoot: boot => up && boot === bootId });
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
        requests.forget();
        generations.setPaused(true);
        // Waiting ones end first, so that none of them takes the place of a running one.
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

    /** Guards a call: while the engine is down, nothing of it answers. */
    const whileUp =
        <Args extends unknown[], T>(run: (...args: Args) => Promise<T>) => async (...args: Args) => {
            if (!up) {
                throw new ResultError(resultCodes.engineUnreachable);
            }
            return run(...args);
        };

    function spentByAll(): Map<AttemptId, number> {
        const all = new Map(spent);
        generations.busyMs();
        generations.all().forEach(running => all.set(running.request.attempt, spentBy(running)));
        return all;
    }

    const engine: EnginePort = {
        generate: whileUp(requests.generate),
        cancel: whileUp(async attempt => requests.cancel(attempt)),
        order: whileUp(order => orders.take(order, bootId)),
        describe: whileUp(async () => ({
            bootId,
            served: structuredClone(orders.served()),
            maxBatch,
            tokensPerSecond,
            honoursFencing: options.honoursFencing ?? true,
        })),
        readLoad: whileUp(async () => load.read()),
        exportCache: whileUp(requests.exportCache),
        importCache: whileUp(requests.importCache),
    };

    const control: FakeEngineControl = {
        crash,
        restart,
        isUp: () => up,
        killOn: (predicate, afterMs = defaultKillDelayMs) => {
            kills = predicate;
            killDelayMs = afterMs;
        },
        failNextLoad: orders.failNextLoad,
        serveSilently: orders.serve,
        served: () => structuredClone(orders.served()),
        spent: spentByAll,
        busyMs: generations.busyMs,
        crashes: () => crashes,
        bootId: () => bootId,
        starts: () => new Map(starts),
        loads: orders.loads,
    };
    return { engine, control };
}
