import { createEntry } from "@auburnarch/entry/createEntry";
import type { Entry } from "@auburnarch/entry/Entry";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createTestProcess } from "@auburnarch/ownership/testing/createTestProcess";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Region } from "@auburnarch/types/Region";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import type { VmId } from "@auburnarch/types/VmId";
import { createEntryPorts } from "./createEntryPorts.js";
import { createNoopMetrics } from "./createNoopMetrics.js";
import { createStoreLink } from "./createStoreLink.js";
import { createTrackedOwnerParts } from "./createTrackedOwnerParts.js";
import type { EntryNode } from "./EntryNode.js";
import type { SamplerNode } from "./SamplerNode.js";
import type { Simulation } from "./Simulation.js";

interface EntryNodeDeps {
    name: string;
    failureDomain: FailureDomain;
    entries: () => EntryNode[];
    /** Addresses of all entries, started or not. */
    addresses: string[];
    samplers: () => SamplerNode[];
    scoring: ScoringPort;
    groupStore: GroupStore;
}

interface Running {
    entry: Entry;
    process: TestProcess;
    fencing: FencingNumber | undefined;
    markDown: () => void;
    whenDown: Promise<void>;
}

const leaseTtlMs = 3_600;
const membershipTiming = {
    gossipIntervalMs: 500,
    gossipTimeoutMs: 800,
    minSuspectMs: 1_500,
    maxSuspectMs: 4_000,
    minReportIntervalMs: 600,
    maxReportIntervalMs: 1_000,
    vmListIntervalMs: 1_000,
};

/** Creates a VM with the real entry in a process of its own and starts it. */
export function createEntryNode(simulation: Simulation, deps: EntryNodeDeps): EntryNode {
    const { guards, network, violations, logger } = simulation;
    const { name } = deps;
    let running: Running | undefined;

    const record: EntryRecord = {
        entry: name as EntryId,
        vm: `vm-${name}` as VmId,
        address: name,
        failureDomain: deps.failureDomain,
        region: "norte" as Region,
    };

    function start(): void {
        const process = createTestProcess(simulation.clock);
        let markDown = (): void => undefined;
        const whenDown = new Promise<void>(resolve => {
            markDown = resolve;
        });
        const invariants = createInvariants(
            logger,
            (code, fields) => violations.add(code.name, `${name} ${JSON.stringify(fields)}`),
        );
        let fencing: FencingNumber | undefined;
        const entry = createEntry({
            self: record,
            clock: process.clock,
            random: simulation.random.fork(),
            logger,
            metrics: createNoopMetrics(),
            invariants,
            store: process.connect(createStoreLink(simulation, name)),
            vmList: process.connect(simulation.vmList),
            scoring: process.connect(deps.scoring),
            groupStore: process.connect(deps.groupStore),
            cursorKey: "bench-key",
            seeds: deps.addresses,
            leaseTtlMs,
            ...createEntryPorts(simulation, {
                name,
                process,
                entries: deps.entries,
                samplers: deps.samplers,
            }),
            readManifestFile: undefined,
            guards: {
                owner: guards.owner,
                ownerParts: createTrackedOwnerParts(next => {
                    fencing = next;
                }),
                lease: guards.lease,
                spread: guards.spread,
                send: guards.send,
                keyRange: guards.keyRange,
                ...guards.quarantine,
            },
            timing: membershipTiming,
        });
        running = {
            entry,
            process,
            get fencing() {
                return fencing;
            },
            markDown,
            whenDown,
        };
    }

    function kill(): void {
        running?.process.kill();
        running?.markDown();
        running = undefined;
    }

    function requireRunning(): Running {
        if (running === undefined) {
            throw new ResultError(resultCodes.peerUnreachable, name);
        }
        return running;
    }

    network.register(name, {
        isUp: () => running !== undefined,
        whenDown: () => running?.whenDown ?? Promise.resolve(),
    });
    simulation.vms.add({ ...record, role: "entry", sampler: undefined, state: "live" });
    start();

    return {
        name,
        running: () => running,
        receive: async (method, params) => {
            const { entry, process } = requireRunning();
            return await process.enter(() => entry.receive(method, params));
        },
        enter: async call => {
            const { entry, process } = requireRunning();
            return await process.enter(() => call(entry));
        },
        ownedFencing: () => running?.fencing,
        kill,
        start: () => {
            if (running === undefined) {
                start();
            }
        },
        shutDown: async deadlineMs => {
            const before = running;
            await before?.process.enter(() => before.entry.shutdown(deadlineMs));
            if (running === before) {
                kill();
            }
        },
    };
}
