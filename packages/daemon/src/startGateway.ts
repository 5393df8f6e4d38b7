import { createBatchJobReader } from "@auburnarch/batches/createBatchJobReader";
import { createBatchJobStore } from "@auburnarch/batches/createBatchJobStore";
import { createRequestAdmission } from "@auburnarch/forwarding/admission/createRequestAdmission";
import { createRequestForwarder } from "@auburnarch/forwarding/createRequestForwarder";
import { createGateway } from "@auburnarch/gateway/createGateway";
import { createRunnerResults } from "@auburnarch/gateway/createRunnerResults";
import { createBodyBudget } from "@auburnarch/overload/createBodyBudget";
import { decodeBatchJob } from "@auburnarch/platform/decodeBatchJob";
import { serveClients } from "@auburnarch/platform/serveClients";
import { splitAddress } from "@auburnarch/platform/splitAddress";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import { clientBoundsOf } from "./clientBoundsOf.js";
import type { RoleContext } from "./RoleContext.js";
import type { RunningRole } from "./RunningRole.js";
import { serveInternal } from "./serveInternal.js";
import { startCommon } from "./startCommon.js";

/**
 * The platform's load balancer removes a process after two failed probes that are a second apart. Until then new
 * connections still arrive and must be served.
 */
const balancerRemovalMs = 2_600;
const pollMs = 100;
/**
 * The calls of a trainer are hashed to one gateway, so most gateways never use the store. A gateway that the store
 * refuses notices at the latest at the first call of a trainer, rejects that call, and is not ready from then on.
 */
const idleProbeIntervalMs = 2_000;
/** Part of the grace period that is reserved for the process to exit by itself. */
const exitSlackMs = 700;

/** Starts a gateway and resolves once it listens. */
export async function startGateway(context: RoleContext): Promise<RunningRole> {
    const { settings, clock, random, logger, metrics, invariants } = context;
    const common = startCommon(context, () => false, idleProbeIntervalMs);
    const batchJobStore = createBatchJobStore(common.store);
    const admission = settings.admission === undefined
        ? undefined
        : createRequestAdmission({ ...common, clock, random: random.fork(), logger, metrics });
    const forwardRequest = createRequestForwarder({
        ...common,
        admission,
        clock,
        random: random.fork(),
        logger,
        metrics,
        invariants,
        failureDomain: settings.failureDomain as FailureDomain,
        meter: common.extras.meter,
    });
    const { maxHeldBodyBytes, maxConnections } = clientBoundsOf(settings);
    const results = createRunnerResults({ caller: common.caller, send: common.runnerClient.results });
    const gateway = createGateway({
        ...common,
        routingAgeMs: common.tables.ageMs,
        forwardRequest,
        batchJobStore,
        batchJobReader: createBatchJobReader(batchJobStore, clock, results),
        decodeBatchJob,
        bodyBudget: createBodyBudget({
            maxHeldBytes: maxHeldBodyBytes,
            onChange: bytes => metrics.set("held_body_bytes", {}, bytes),
        }),
        clock,
        random: random.fork(),
        logger,
        metrics,
    });
    const served = await serveClients({
        gateway,
        clients: splitAddress(settings.clientAddress!)!,
        ready: splitAddress(settings.readyAddress!)!,
        maxConnections,
        onConnections: connections => metrics.set("client_connections", {}, connections),
        onConnectionClosed: state => metrics.count("client_connections_closed_total", { state }),
        clock,
        logger,
    });
    common.tables.onChange(() => {
        const table = common.routing();
        if (table !== undefined) {
            served.setLimits(table.clientLimits);
        }
    });
    const internal = await serveInternal(context, async () => ({}));

    return {
        shutdown: async () => {
            gateway.markNotReady();
            served.drain();
            const endMs = clock.monotonicMs() + settings.gracePeriodMs - exitSlackMs;
            await clock.sleep(balancerRemovalMs);
            // What is read from here on may not be answered before the process ends. Connections that were in use when idle
            // ones were closed close with their answers.
            served.refuse();
            while (served.active() > 0 && clock.monotonicMs() < endMs) {
                await clock.sleep(pollMs);
            }
            if (admission !== undefined && served.active() > 0) {
                // Those that still wait are refused as not run, rather than cut off without an answer.
                admission.close();
                await clock.sleep(pollMs);
            }
            logger.info("gatewayLeft", { active: served.active() });
            served.close();
            internal.close();
        },
    };
}
