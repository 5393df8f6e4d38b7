import { createRoutingView } from "@auburnarch/discovery/createRoutingView";
import { createSamplerDirectory } from "@auburnarch/discovery/createSamplerDirectory";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { createCallSampler } from "@auburnarch/platform/createCallSampler";
import { createPlatformStore } from "@auburnarch/platform/createPlatformStore";
import { createSamplerAgents } from "@auburnarch/platform/createSamplerAgents";
import { decodeConfiguration } from "@auburnarch/platform/decodeConfiguration";
import { decodeSampler } from "@auburnarch/platform/decodeSampler";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import { splitAddress } from "@auburnarch/platform/splitAddress";
import type { CallSampler } from "@auburnarch/relay/CallSampler";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createStoreHealth } from "./createStoreHealth.js";
import type { RoleContext } from "./RoleContext.js";

interface Common {
    /** Sets the status of an object of the platform's. */
    writeStatus: (key: string, value: unknown) => Promise<void>;
    store: ObjectStore;
    storeSilentMs: () => number;
    storeHeardMs: () => number;
    storeRegainedMs: () => number;
    tables: WatchedKind<RoutingTable>;
    routing: RoutingView;
    directory: SamplerDirectory;
    callSampler: CallSampler;
    agentFor: ReturnType<typeof createSamplerAgents>;
}

/**
 * Changes of samplers close together (each load of weights shows as one) are taken by one call of the watch. Gateways
 * and idle runners only need to know who drains, within two seconds; busy runners wait for the end of loads.
 */
const idleGatherMs = 800;
const busyGatherMs = 150;

/**
 * Starts what gateways and runners share: the store, the configuration, the samplers. `isBusy` is true while runs or
 * loads here depend on what samplers serve.
 */
export function startCommon(context: RoleContext, isBusy: () => boolean): Common {
    const { clock, logger, metrics } = context;
    const address = (): { host: string; port: number; } =>
        splitAddress(context.currentSettings().storeAddress)!;
    const platformStore = createPlatformStore({ address, clock });
    const health = createStoreHealth(platformStore, clock, metrics, logger);
    const { store } = health;
    const watched = { store, clock, logger };
    const decodeTable = (_name: string, value: unknown): RoutingTable | undefined =>
        decodeConfiguration(value);
    const tables = watchKind({ ...watched, kind: platformKinds.configuration, decode: decodeTable });
    const samplers = watchKind({
        ...watched,
        kind: platformKinds.samplers,
        decode: decodeSampler,
        gatherMs: () => isBusy() ? busyGatherMs : idleGatherMs,
    });
    const agentFor = createSamplerAgents();
    return {
        writeStatus: platformStore.writeStatus,
        store,
        storeSilentMs: health.silentMs,
        storeHeardMs: health.heardMs,
        storeRegainedMs: health.regainedMs,
        tables,
        routing: createRoutingView(tables, logger),
        directory: createSamplerDirectory(samplers, clock, logger),
        callSampler: createCallSampler(clock, agentFor),
        agentFor,
    };
}
