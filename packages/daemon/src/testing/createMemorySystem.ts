import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FakeClock } from "@auburnarch/clock/FakeClock";
import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentFollower } from "@auburnarch/documents/createDocumentFollower";
import { createEntry } from "@auburnarch/entry/createEntry";
import type { Entry } from "@auburnarch/entry/Entry";
import type { PeerCall } from "@auburnarch/entry/PeerCall";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createFakeVmList } from "@auburnarch/fakes/createFakeVmList";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { FakePlainServiceControl } from "@auburnarch/fakes/FakePlainServiceControl";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createFencingReader } from "@auburnarch/lease/createFencingReader";
import { createLogger } from "@auburnarch/log/createLogger";
import { createReporter } from "@auburnarch/membership/createReporter";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { createSidecar } from "@auburnarch/sidecar/createSidecar";
import { initialConfigWaitMs } from "@auburnarch/sidecar/initialConfigWaitMs";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerIdentity } from "@auburnarch/types/SamplerIdentity";
import type { SamplerManifest } from "@auburnarch/types/SamplerManifest";
import type { VmId } from "@auburnarch/types/VmId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { applyDocument } from "../applyDocument.js";

const seed = 7;
const leaseTtlMs = 10_000;
const firstVersion = 0 as WeightVersion;

interface MemorySampler {
    sidecar: Sidecar;
    engine: FakeEngineControl | undefined;
    backend: FakePlainServiceControl | undefined;
}

interface MemorySystem {
    clock: FakeClock;
    entries: Entry[];
    samplers: Map<SamplerId, MemorySampler>;
    store: ObjectStore;
    storeControl: FakeStoreControl;
    vms: ReturnType<typeof createFakeVmList>["control"];
    /** Log lines of all processes in order. */
    lines: string[];
    violations: string[];
}

/** Runs real entries and sidecars with fakes of the external systems, connected in memory, on one fake clock. */
export function createMemorySystem(
    manifest: Manifest,
    readManifestFile: () => string,
    entryCount = 2,
): MemorySystem {
    const clock = createFakeClock();
    const random = createRandom(seed);
    const lines: string[] = [];
    const violations: string[] = [];
    const logger = createLogger(clock, line => lines.push(line));
    const { store, control: storeControl } = createFakeObjectStore({ clock, random: random.fork() });
    const { vmList, control: vms } = createFakeVmList({ clock, lagMs: 1_000 });
    const { scoring } = createFakeScoring({ clock, latencyMs: 5 });
    const { weightStore } = createFakeWeightStore({ clock, transferMs: 100 });
    const entries = new Map<string, Entry>();
    const samplers = new Map<SamplerId, MemorySampler>();
    const domains = manifest.samplers.map(each => each.failureDomain);
    const region = "norte" as Region;

    const createProcessTelemetry = (own: Logger) => ({
        logger: own,
        metrics: createMetrics(),
        invariants: createInvariants(own, code => violations.push(code.name)),
    });

    const callPeer: PeerCall = async (address, method, params) => {
        const entry = entries.get(address);
        if (entry === undefined) {
            throw new ResultError(resultCodes.peerUnreachable, address);
        }
        // Params and answers are copied, as they are when sent over a network.
        return structuredClone(await entry.receive(method, JSON.parse(JSON.stringify(params))));
    };

    function startEntry(index: number): void {
        const name = `entry-${index + 1}`;
        const self: EntryRecord = {
            entry: name as EntryId,
            vm: `vm-${name}` as VmId,
            address: `http://${name}`,
            failureDomain: domains[index % domains.length]!,
            region,
        };
        vms.add({ ...self, role: "entry", sampler: undefined, state: "live" });
        const entry = createEntry({
            ...createProcessTelemetry(logger.child({ process: name })),
            self,
            clock,
            random: random.fork(),
            store,
            vmList,
            scoring,
            groupStore: undefined,
            cursorKey: "a cursor key of the memory system",
            seeds: [],
            leaseTtlMs,
            connectSidecar: report => samplers.get(report.sampler)!.sidecar,
            callPeer,
            forwardPlain: async (address, request, signal) => ({
                kind: "ran",
                answer: await entries.get(address)!.call({ ...request, forwarded: true }, signal),
            }),
            readManifestFile: index === 0 ? async () => readManifestFile() : undefined,
        });
        entries.set(self.address, entry);
    }

    function createBackend({ service }: SamplerManifest) {
        const kind = manifest.services.find(each => each.service === service)?.kind;
        if (kind === "plain") {
            const { backend, control } = createFakePlainService({ clock, latencyMs: 4 });
            return { engine: undefined, backend, controls: { engine: undefined, backend: control } };
        }
        const served = manifest.jobs.filter(job => job.service === service)
            .map(job => ({ policy: job.policy, version: firstVersion }));
        const { engine, control } = createFakeEngine({ clock, random: random.fork(), served, swapMs: 300 });
        return { engine, backend: undefined, controls: { engine: control, backend: undefined } };
    }

    function startSidecar(sampler: SamplerManifest): void {
        const name = `sidecar-${sampler.sampler}`;
        const telemetry = createProcessTelemetry(logger.child({ process: name }));
        const { engine, backend, controls } = createBackend(sampler);
        const identity: SamplerIdentity = {
            ...sampler,
            vm: `vm-${name}` as VmId,
            address: `http://${name}`,
            region,
        };
        vms.add({ ...identity, role: "sidecar", state: "live" });
        const sidecar = createSidecar({
            ...telemetry,
            identity,
            clock,
            random: random.fork(),
            engine,
            backend,
            weightStore,
            readFencing: createFencingReader(store),
            initialConfigWaitMs,
        });
        samplers.set(sampler.sampler, { sidecar, ...controls });
        const follower = createDocumentFollower(
            { invariants: telemetry.invariants, logger: telemetry.logger, faultsOf: faultsOfDocument },
            document => applyDocument(sidecar, document),
        );
        createReporter({
            sampler: sampler.sampler,
            clock,
            random: random.fork(),
            logger: telemetry.logger,
            report: sidecar.report,
            digest: follower.digest,
            wholeDocuments: follower.wholeDocuments,
            onDocuments: follower.receive,
            onLeaving: sidecar.beginLeaving,
            vmList,
            seeds: [...entries.keys()],
            exchange: (address, message) => callPeer(address, "report", message, 0),
        }).start();
    }

    Array.from({ length: entryCount }, (_, index) => startEntry(index));
    manifest.samplers.forEach(startSidecar);
    return { clock, entries: [...entries.values()], samplers, store, storeControl, vms, lines, violations };
}
