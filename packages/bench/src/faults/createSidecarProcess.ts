import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentFollower } from "@auburnarch/documents/createDocumentFollower";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createFencingReader } from "@auburnarch/lease/createFencingReader";
import { createReporter } from "@auburnarch/membership/createReporter";
import { createTestProcess } from "@auburnarch/ownership/testing/createTestProcess";
import { createSidecar } from "@auburnarch/sidecar/createSidecar";
import { initialConfigWaitMs } from "@auburnarch/sidecar/initialConfigWaitMs";
import type { SidecarDependencies } from "@auburnarch/sidecar/SidecarDependencies";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VmId } from "@auburnarch/types/VmId";
import type { WeightStore } from "@auburnarch/types/WeightStore";
import { createNoopMetrics } from "./createNoopMetrics.js";
import { createStoreLink } from "./createStoreLink.js";
import type { EntryNode } from "./EntryNode.js";
import type { SidecarProcess } from "./SidecarProcess.js";
import type { Simulation } from "./Simulation.js";

interface SidecarDeps {
    name: string;
    vm: VmId;
    service: ServiceId;
    engine: EnginePort | undefined;
    backend: PlainBackend | undefined;
    weightStore: WeightStore;
    entries: () => EntryNode[];
    /** Addresses of all entries, started or not. */
    addresses: string[];
}

const staleDocumentDelayMs = 300;
const reportTiming = {
    minReportIntervalMs: 600,
    maxReportIntervalMs: 1_000,
    reportTimeoutMs: 800,
    vmListIntervalMs: 1_000,
};

/** Starts a sidecar: the real sidecar, reporter and document follower in a process of their own. */
export function createSidecarProcess(simulation: Simulation, deps: SidecarDeps): SidecarProcess {
    const { guards, network, violations, logger } = simulation;
    const process = createTestProcess(simulation.clock);
    const { clock } = process;
    const random = simulation.random.fork();
    const invariants = createInvariants(
        logger,
        (code, fields) => violations.add(code.name, `${deps.name} ${JSON.stringify(fields)}`),
    );
    const identity = {
        sampler: deps.name as SamplerId,
        vm: deps.vm,
        address: deps.name,
        failureDomain: "Pamplona" as FailureDomain,
        region: "norte" as Region,
        service: deps.service,
    };
    const sidecarDeps: SidecarDependencies = {
        identity,
        clock,
        random: random.fork(),
        logger,
        metrics: createNoopMetrics(),
        invariants,
        engine: deps.engine === undefined ? undefined : process.connect(deps.engine),
        backend: deps.backend === undefined ? undefined : process.connect(deps.backend),
        weightStore: process.connect(deps.weightStore),
        readFencing: createFencingReader(process.connect(createStoreLink(simulation, deps.name))),
        initialConfigWaitMs,
    };
    const sidecar = createSidecar(sidecarDeps, guards.gate);
    let markDown = (): void => undefined;
    const whenDown = new Promise<void>(resolve => {
        markDown = resolve;
    });

    const latestDocuments = new Map<string, SharedDocument>();

    /** Delivers a document, and later its predecessor again, as a late answer of another entry would. */
    function deliverDocument(document: SharedDocument): void {
        const before = latestDocuments.get(document.name);
        latestDocuments.set(document.name, document);
        offer(document);
        if (before !== undefined) {
            clock.startTimer(staleDocumentDelayMs, () => offer(before));
        }
    }

    function offer(document: SharedDocument): void {
        if (document.name === "manifest") {
            const version = document.version as ConfigVersion;
            sidecar.offerManifest({ version, manifest: document.value as Manifest });
        }
        else {
            sidecar.offerQuarantine(
                document.version,
                (document.value as { records: QuarantineRecord[]; }).records,
            );
        }
    }

    const follower = createDocumentFollower(
        { invariants, logger, faultsOf: faultsOfDocument, guards: guards.spread },
        deliverDocument,
    );

    async function exchange(address: string, message: unknown): Promise<unknown> {
        const entry = deps.entries().find(each => each.name === address);
        const ended = await network.exchange(
            `${deps.name}#reports`,
            address,
            () => entry!.receive("report", message),
        );
        if (ended.kind !== "answered") {
            throw new Error(`no answer from ${address}`);
        }
        return ended.answer;
    }

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
        vmList: process.connect(simulation.vmList),
        seeds: deps.addresses,
        exchange: process.connect(exchange),
        timing: reportTiming,
    });
    reporter.start();

    return {
        sidecar,
        process,
        startedAtFencing: simulation.trueFencing(),
        startedAtMs: simulation.clock.monotonicMs(),
        shutdownAtMs: undefined,
        kill: () => {
            sidecar.kill();
            reporter.stop();
            process.kill();
            markDown();
        },
        stopReporting: reporter.stop,
        whenDown: () => whenDown,
    };
}
