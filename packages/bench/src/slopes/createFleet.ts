import { rangeCount } from "@auburnarch/admission/rangeCount";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import { createFleetEntry } from "./createFleetEntry.js";
import { createFleetManifest } from "./createFleetManifest.js";
import { createFleetNetwork } from "./createFleetNetwork.js";
import { createFleetSidecar } from "./createFleetSidecar.js";
import { createSuspicionLogger } from "./createSuspicionLogger.js";
import type { Fleet } from "./Fleet.js";
import type { FleetNetwork } from "./FleetNetwork.js";
import type { FleetOptions } from "./FleetOptions.js";

const storeLatencyMs = 4;
const priorities = 10;

function toRecord(at: number, options: FleetOptions): EntryRecord {
    const domain = at % options.domains;
    return {
        entry: `entry-${at}`,
        vm: `entry-vm-${at}`,
        address: `http://10.0.${at >> 8}.${at & 255}:7400`,
        failureDomain: `place-${domain}`,
        region: `region-${domain % options.regions}`,
    } as EntryRecord;
}

const toVm = (record: EntryRecord): VmRecord => ({
    ...record,
    role: "entry",
    sampler: undefined,
    state: "live",
});

function ownedDocuments(jobs: number): SharedDocument[] {
    const ofJobs = Array.from({ length: jobs }, (_, at): SharedDocument[] => [
        {
            name: `owner/job-${at}`,
            version: 1,
            value: { job: `job-${at}`, entry: "entry-1", address: "http://10.0.0.1:7400", fencing: 1 },
        },
        {
            name: `weights/policy-${at}`,
            version: 1,
            value: { policy: `policy-${at}`, version: 1, location: `s3://weights/policy-${at}/1` },
        },
    ]);
    const ofRanges = Array.from({ length: rangeCount }, (_, at): SharedDocument => ({
        name: `range/${at}`,
        version: 1,
        value: { entry: "entry-1", address: "http://10.0.0.1:7400", fencing: 1 },
    }));
    return [...ofJobs.flat(), ...ofRanges];
}

/** Starts a fleet: the real membership, document sync and reporting on a simulated network that counts bytes. */
export function createFleet(options: FleetOptions): Fleet {
    const clock = createFakeClock();
    const random = createRandom(options.seed);
    const { store, control } = createFakeObjectStore({
        clock,
        random: random.fork(),
        latencyMs: storeLatencyMs,
    });
    const suspicion = createSuspicionLogger();
    const invariants = createInvariants(suspicion.logger, code => {
        throw new Error(`invariant violated: ${code.name}`);
    });
    const network: FleetNetwork = createFleetNetwork(clock, random.fork(), options);
    const records = Array.from({ length: options.entries }, (_, at) => toRecord(at, options));
    const vms = records.map(toVm);
    const vmList = (): Promise<VmRecord[]> => Promise.resolve(vms);
    const common = { clock, invariants, logger: suspicion.logger, vmList, network };
    const entries = new Map(
        records.map(
            self => [self.address, createFleetEntry({ ...common, self, store, random: random.fork() })],
        ),
    );
    const sidecars = Array.from(
        { length: options.samplers },
        (_, at) =>
            createFleetSidecar({
                ...common,
                at,
                domains: options.domains,
                regions: options.regions,
                random: random.fork(),
            }),
    );
    let published = 0 as ObjectVersion;
    let priority = 0;

    const [first] = entries.values();
    ownedDocuments(options.jobs).forEach(document => first!.documentSync.offer(document));

    async function publish(): Promise<number> {
        priority = priority % priorities + 1;
        const writing = store.write(
            "config/manifest",
            createFleetManifest(options.samplers, options.jobs, priority),
            published,
        );
        await clock.advance(storeLatencyMs * 3);
        const outcome = await writing;
        if (outcome.kind === "written") {
            published = outcome.version;
        }
        return published;
    }

    const relays = (): string[] =>
        [...entries].filter(([, entry]) => entry.membership.isRelay()).map(([address]) => address);

    function kill(address: string): void {
        entries.get(address)!.stop();
        entries.delete(address);
        network.remove(address);
    }

    const countEntriesTrusting = (address: string): number =>
        [...entries.values()]
            .filter(entry => entry.membership.listPeers().some(peer => peer.address === address))
            .length;

    const isBehind = (version: number) => (process: { manifestVersion(): number; }): boolean =>
        process.manifestVersion() < version;

    return {
        clock,
        store: control,
        counts: network.counts,
        resetCounts: network.resetCounts,
        publish,
        behind: version => ({
            entries: [...entries.values()].filter(isBehind(version)).length,
            sidecars: sidecars.filter(isBehind(version)).length,
        }),
        peersKnown: () => {
            const known = [...entries.values()].map(entry => entry.membership.listPeers().length);
            return { least: Math.min(...known), most: Math.max(...known) };
        },
        suspicions: suspicion.count,
        relays,
        kill,
        countEntriesTrusting,
        slow: network.slow,
        cutRegions: network.cutRegions,
        stop: () => {
            entries.forEach(entry => entry.stop());
            sidecars.forEach(sidecar => sidecar.stop());
        },
    };
}
