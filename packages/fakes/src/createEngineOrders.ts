import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EngineOrderResult } from "@auburnarch/types/EngineOrderResult";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { createGenerations } from "./createGenerations.js";
import type { FakeEngineControl } from "./FakeEngineControl.js";
import type { FakeEngineOptions } from "./FakeEngineOptions.js";

type Served = { policy: PolicyId; version: WeightVersion; }[];
type LoadOrder = Extract<EngineOrder, { kind: "load"; }>;

interface EngineOrders {
    execute(order: EngineOrder, bootId: string): Promise<EngineOrderResult>;
    served(): Served;
    serve(policy: PolicyId, version: WeightVersion): void;
    failNextLoad: FakeEngineControl["failNextLoad"];
    loads: FakeEngineControl["loads"];
    /** Resets the state as a restart does: fencing numbers are forgotten and no order is running. */
    reset(served: Served): void;
}

interface EngineOrdersDeps {
    options: FakeEngineOptions;
    generations: ReturnType<typeof createGenerations>;
    /** Whether the engine is up and its boot id is still `bootId`. */
    isCurrentBoot: (bootId: string) => boolean;
}

const defaultSwapMs = 2_000;

/** Executes a fake engine's orders. Fencing numbers are compared per policy, if the engine honours them. */
export function createEngineOrders(deps: EngineOrdersDeps): EngineOrders {
    const { options, generations } = deps;
    const { swapMs = defaultSwapMs, honoursFencing = true } = options;
    const highestFencing = new Map<string, number>();
    const loads: { policy: PolicyId; version: WeightVersion; fencing: number; }[] = [];
    let served = structuredClone(options.served);
    let loading = false;
    let nextLoadFailure: "old" | "new" | WeightVersion | undefined;

    function serve(policy: PolicyId, version: WeightVersion): void {
        generations.flush();
        served = [...served.filter(entry => entry.policy !== policy), { policy, version }];
        generations.clearCache();
    }

    function unload(policy: PolicyId): void {
        generations.all()
            .filter(generation => generation.request.policy === policy)
            .forEach(generation => generations.finish(generation, "cancelled"));
        served = served.filter(entry => entry.policy !== policy);
    }

    async function load(order: LoadOrder, bootId: string): Promise<EngineOrderResult> {
        if (loading) {
            return { kind: "failed", detail: "another load is running" };
        }
        loading = true;
        generations.flush();
        generations.setPaused(true);
        await options.clock.sleep(swapMs);
        if (!deps.isCurrentBoot(bootId)) {
            throw new ResultError(resultCodes.engineUnreachable);
        }
        const injectedFailure = nextLoadFailure;
        nextLoadFailure = undefined;
        const resultingVersion = injectedFailure === undefined || injectedFailure === "new"
            ? order.version
            : injectedFailure;
        if (resultingVersion !== "old") {
            serve(order.policy, resultingVersion);
            loads.push({ policy: order.policy, version: resultingVersion, fencing: order.fencing });
        }
        loading = false;
        generations.setPaused(false);
        return injectedFailure === undefined
            ? { kind: "done" }
            : { kind: "failed", detail: "load broke off" };
    }

    async function execute(order: EngineOrder, bootId: string): Promise<EngineOrderResult> {
        const scope = order.kind === "setRole" ? "role" : order.policy;
        const seen = highestFencing.get(scope) ?? 0;
        if (honoursFencing && order.fencing < seen) {
            return { kind: "fenced", highestFencing: seen };
        }
        highestFencing.set(scope, Math.max(seen, order.fencing));
        if (order.kind === "load") {
            return load(order, bootId);
        }
        if (order.kind === "unload") {
            unload(order.policy);
        }
        return { kind: "done" };
    }

    return {
        execute,
        served: () => served,
        serve,
        failNextLoad: leaves => {
            nextLoadFailure = leaves;
        },
        loads: () => [...loads],
        reset: next => {
            served = structuredClone(next);
            loading = false;
            highestFencing.clear();
        },
    };
}
