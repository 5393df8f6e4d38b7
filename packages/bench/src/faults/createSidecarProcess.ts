import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentFollower } from "@auburnarch/documents/createDocumentFollower";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createReadFencing } from "@auburnarch/lease/createReadFencing";
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
import { createQuietMetrics } from "./createQuietMetrics.js";
import { createStoreLink } from "./createStoreLink.js";
import type { EntryNode } from "./EntryNode.js";
import type { SidecarProcess } from "./SidecarProcess.js";
import type { World } from "./World.js";

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

const lateDocumentMs = 300;
const reportTiming = {
    minReportIntervalMs: 600,
    maxReportIntervalMs: 1_000,
    reportTimeoutMs: 800,
    vmListIntervalMs: 1_000,
};

/** Starts a sidecar: the real gate, reporter and document set in a process of their own. */
export function createSidecarProcess(world: World, deps: SidecarDeps): SidecarProcess {
    const { guards, network, violations, logger } = world;
    const process = createTestProcess(world.clock);
    const { clock } = process;
    const random = world.random.fork();
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
    const gateDeps: SidecarDependencies = {
        identity,
        clock,
        random: random.fork(),
        logger,
        metrics: createQuietMetrics(),
        invariants,
        engine: deps.engine === undefined ? undefined : process.connect(deps.engine),
        backend: deps.backend === undefined ? undefined : process.connect(deps.backend),
        weightStore: process.connect(deps.weightStore),
        readFencing: createReadFencing(process.connect(createStoreLink(world, deps.name))),
        initialConfigWaitMs,
    };
    const gate = createSidecar(gateDeps, guards.gate);
    let down = (): void => undefined;
    const died = new Promise<void>(resolve => {
        down = resolve;
    });

    const taken = new Map<string, SharedDocument>();

    /** Hands a document on, and the one before it once more, as a late answer of another entry would. */
    function takeDocument(document: SharedDocument): void {
        const before = taken.get(document.name);
        taken.set(document.name, document);
        offer(document);
        if (before !== undefined) {
            clock.startTimer(lateDocumentMs, () => offer(before));
        }
    }

    function offer(document: SharedDocument): void {
        if (document.name === "manifest") {
            const version = document.version as ConfigVersion;
            gate.offerManifest({ version, manifest: document.value as Manifest });
        }
        else {
            gate.offerQuarantine(
                document.version,
                (document.value as { records: QuarantineRecord[]; }).records,
            );
        }
    }

    const follower = createDocumentFollower(
        { invariants, logger, faultsOf: faultsOfDocument, guards: guards.spread },
        takeDocument,
    );

    async function exchange(address: string, message: unknown): Promise<unknown> {
        const entry = deps.entries().find(each => each.name === address);
        const ended = await network.exchange(
            `${deps.name}#reports`,
            address,
            () => entry!.receive("report", message),
        );
        if (ended.kind !== "answered") {
            throw new Error(`no answer of ${address}`);
        }
        return ended.answer;
    }

    const reporter = createReporter({
        sampler: identity.sampler,
        clock,
        random: random.fork(),
        logger,
        report: gate.report,
        digest: follower.digest,
        wholeDocuments: follower.wholeDocuments,
        onDocuments: follower.receive,
        onLeaving: gate.beginLeaving,
        vmList: process.connect(world.vmList),
        seeds: deps.addresses,
        exchange: process.connect(exchange),
        timing: reportTiming,
    });
    reporter.start();

    return {
        gate,
        process,
        startedAtFencing: world.trueFencing(),
        startedAtMs: world.clock.monotonicMs(),
        shutdownAtMs: undefined,
        kill: () => {
            gate.kill();
            reporter.stop();
            process.kill();
            down();
        },
        stopReporting: reporter.stop,
        whenDown: () => died,
    };
}
