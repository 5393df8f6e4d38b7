import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { createRelayedCalls } from "@auburnarch/feeds/createRelayedCalls";
import { createRelayingStore } from "@auburnarch/feeds/createRelayingStore";
import { createStoreRelays } from "@auburnarch/feeds/createStoreRelays";
import type { StoreReach } from "@auburnarch/feeds/StoreReach";
import { directSilentMs } from "@auburnarch/runner/peers/directSilentMs";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createRelayRecorder } from "./createRelayRecorder.js";
import type { createRunnerClient } from "./createRunnerClient.js";
import type { createStoreHealth } from "./createStoreHealth.js";
import { isRelayableKey } from "./isRelayableKey.js";
import type { RoleContext } from "./RoleContext.js";

interface StoreAccessDeps {
    context: RoleContext;
    health: ReturnType<typeof createStoreHealth>;
    runnerClient: Pick<ReturnType<typeof createRunnerClient>, "status" | "store">;
    runners: () => ReadonlyMap<string, RunnerAddress> | undefined;
}

/** How a process uses the store: by its own calls, and through a peer where that is enabled. */
interface StoreAccess {
    store: ObjectStore;
    /** Own calls only. */
    reach: () => StoreReach;
    /** Milliseconds since the store could last be used, by own calls or through a peer; 0 while it can. */
    silentMs: () => number;
    /** Milliseconds since the store last answered, directly or through a peer. */
    sinceAnswerMs: () => number;
}

/** Creates a process's access to the store. */
export function createStoreAccess({ context, health, runnerClient, runners }: StoreAccessDeps): StoreAccess {
    const { settings, clock, logger } = context;
    const reach = (): StoreReach => ({ silentMs: health.silentMs(), unansweredMs: health.unansweredMs() });
    if (!settings.relaysStoreCalls) {
        return {
            store: health.store,
            reach,
            silentMs: health.silentMs,
            sinceAnswerMs: health.sinceAnswerMs,
        };
    }
    const relays = createStoreRelays({
        self: settings.name,
        runners,
        askReport: async (address, timeoutMs) => {
            const status = await runnerClient.status(address, timeoutMs, { wantsStarts: false });
            const unansweredMs = status.storeReach?.unansweredMs ?? 0;
            return { reach: { silentMs: directSilentMs(status), unansweredMs }, isLeaving: status.isLeaving };
        },
        reach,
        clock,
        logger,
    });
    const relayCall = createRelayedCalls({
        relays,
        send: runnerClient.store,
        record: createRelayRecorder(context),
        clock,
    });
    return {
        store: createRelayingStore({
            direct: health.store,
            reach,
            relayCall,
            isRelayable: isRelayableKey,
            clock,
        }),
        reach,
        // Without a relay the silence counts from the last one's answer, so that peers do not take over batch jobs
        // while another one is looked up.
        silentMs: () => relays.isUsable() ? 0 : Math.min(health.silentMs(), relays.sinceConfirmedMs()),
        sinceAnswerMs: () => Math.min(health.sinceAnswerMs(), relays.sinceConfirmedMs()),
    };
}
