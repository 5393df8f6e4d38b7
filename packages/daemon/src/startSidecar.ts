import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import type { Settings } from "@auburnarch/config/Settings";
import { createDocumentFollower } from "@auburnarch/documents/createDocumentFollower";
import { createPeerCall } from "@auburnarch/entry/createPeerCall";
import { createFencingReader } from "@auburnarch/lease/createFencingReader";
import { createReporter } from "@auburnarch/membership/createReporter";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import { createSidecar } from "@auburnarch/sidecar/createSidecar";
import { initialConfigWaitMs } from "@auburnarch/sidecar/initialConfigWaitMs";
import { serveSidecar } from "@auburnarch/sidecar/serveSidecar";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { SidecarDependencies } from "@auburnarch/sidecar/SidecarDependencies";
import { createBudgetedStore } from "@auburnarch/store/createBudgetedStore";
import { createHttpEngine } from "@auburnarch/store/createHttpEngine";
import { createHttpObjectStore } from "@auburnarch/store/createHttpObjectStore";
import { createHttpPlainBackend } from "@auburnarch/store/createHttpPlainBackend";
import { createHttpVmList } from "@auburnarch/store/createHttpVmList";
import { createHttpWeightStore } from "@auburnarch/store/createHttpWeightStore";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerIdentity } from "@auburnarch/types/SamplerIdentity";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { VmId } from "@auburnarch/types/VmId";
import { addressOf } from "./addressOf.js";
import { applyDocument } from "./applyDocument.js";
import { createTelemetry } from "./createTelemetry.js";
import { digestClusterTokens } from "./digestClusterTokens.js";
import { openTrust } from "./openTrust.js";
import type { ProcessContext } from "./ProcessContext.js";
import type { RunningProcess } from "./RunningProcess.js";
import { watchState } from "./watchState.js";

/** A sidecar reads a lease only when it first receives an order under it, and never writes. */
const storeCallsPerSecond = 5;
const reportTimeoutMs = 1_500;

function createIdentity(settings: Settings): SamplerIdentity {
    return {
        sampler: settings.sampler as SamplerId,
        vm: settings.vm as VmId,
        address: settings.publicAddress ?? "",
        failureDomain: settings.failureDomain as FailureDomain,
        region: settings.region as Region,
        service: settings.service as ServiceId,
    };
}

function createSidecarDeps(
    settings: Settings,
    context: ProcessContext,
    identity: SamplerIdentity,
    telemetry: ReturnType<typeof createTelemetry>,
): SidecarDependencies {
    const { clock, random } = context;
    const store = createBudgetedStore(createHttpObjectStore(settings.objectApiUrl), {
        clock,
        random: random.fork(),
        readsPerSecond: storeCallsPerSecond,
        writesPerSecond: storeCallsPerSecond,
    });
    return {
        ...telemetry,
        identity,
        clock,
        random: random.fork(),
        engine: settings.engineUrl === undefined ? undefined : createHttpEngine(settings.engineUrl),
        backend: settings.backendUrl === undefined ? undefined : createHttpPlainBackend(settings.backendUrl),
        weightStore: createHttpWeightStore(settings.weightStoreUrl ?? ""),
        readFencing: createFencingReader(store),
        initialConfigWaitMs,
    };
}

/** Renders the metrics of a sidecar after updating its gauges. */
function renderSidecar(sidecar: Sidecar, metrics: Metrics): Promise<string> {
    const report = sidecar.report();
    metrics.set("gate_running", {}, report.running);
    metrics.set("gate_waiting", {}, report.waiting);
    metrics.set("gate_limit", {}, report.limit);
    metrics.set("config_version", {}, report.configVersion);
    metrics.set("ready", {}, report.state === "ready" ? 1 : 0);
    report.served.forEach(({ policy, version }) => metrics.set("gate_served_version", { policy }, version));
    return metrics.render();
}

/** Starts a sidecar from validated settings and resolves once it listens and reports to entries. */
export async function startSidecar(settings: Settings, context: ProcessContext): Promise<RunningProcess> {
    const { clock, random } = context;
    const telemetry = createTelemetry(settings, context);
    const { logger } = telemetry;
    const identity = createIdentity(settings);
    const trust = await openTrust(settings, { clock, logger });
    const sidecar = createSidecar(createSidecarDeps(settings, context, identity, telemetry));
    const served = await serveSidecar(sidecar, {
        host: settings.listenHost,
        port: settings.listenPort,
        clock,
        logger,
        createServer: trust?.createServer,
        isPeer: trust?.isPeer,
        ...digestClusterTokens(settings),
        renderMetrics: () => renderSidecar(sidecar, telemetry.metrics),
    });
    // If the system chooses the port, it is known only now; nothing is reported before.
    identity.address = addressOf(settings, served.port);

    const { invariants } = telemetry;
    const follower = createDocumentFollower(
        { invariants, logger, faultsOf: faultsOfDocument },
        document => applyDocument(sidecar, document),
    );
    const callPeer = createPeerCall(settings.clusterToken, trust?.createAgent);
    const reporter = createReporter({
        sampler: identity.sampler,
        clock,
        random: random.fork(),
        logger,
        report: sidecar.report,
        digest: follower.digest,
        wholeDocuments: follower.wholeDocuments,
        onDocuments: follower.receive,
        onLeaving: sidecar.beginLeaving,
        vmList: createHttpVmList(settings.vmListUrl),
        seeds: settings.seeds,
        exchange: (address, message) => callPeer(address, "report", message, reportTimeoutMs),
    });
    reporter.start();
    const stopWatch = watchState(sidecar, clock, reporter.reportNow);
    return {
        name: settings.name,
        address: identity.address,
        shutdown: async () => {
            sidecar.beginLeaving();
            reporter.reportNow();
            await sidecar.shutdown(settings.shutdownDeadlineMs);
            reporter.stop();
            stopWatch();
            await served.close(true);
            trust?.stop();
        },
    };
}
