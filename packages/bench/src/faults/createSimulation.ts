import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakeVmList } from "@auburnarch/fakes/createFakeVmList";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { createCheckedStore } from "./checks/createCheckedStore.js";
import { createRunObserver } from "./checks/createRunObserver.js";
import { createViolations } from "./checks/createViolations.js";
import { createNetwork } from "./createNetwork.js";
import { createNoopLogger } from "./createNoopLogger.js";
import type { FaultGuards } from "./FaultGuards.js";
import type { Simulation } from "./Simulation.js";

/** Calls take time in every other run, so that faults also occur between effect and answer. */
const storeLatencyMs = 3;
/** The entries know of a crash at most this long after it. */
const reportedWithinMs = 3_000;
const vmListLagMs = 1_000;
const leaseKey = "leases/job/plume";

/** Creates the environment of one run: clock, network, platform and checks. All random draws follow from the seed. */
export function createSimulation(
    seed: number,
    guards: FaultGuards,
    createLogger: (clock: Clock) => Logger = createNoopLogger,
): Simulation {
    const clock = createFakeClock();
    const random = createRandom(seed);
    const violations = createViolations(clock);
    const { store, control } = createFakeObjectStore({
        clock,
        random: random.fork(),
        latencyMs: seed % 2 === 0 ? storeLatencyMs : 0,
    });
    const { vmList, control: vms } = createFakeVmList({ clock, lagMs: vmListLagMs });
    const checked = createCheckedStore(store, violations, leaseKey);
    const network = createNetwork(clock, random.fork());
    let isDown = false;
    let slowMs = 0;
    const crashRequests = new Map<string, { vms: Set<string>; runs: number; }>();
    const inducedCrashes: { vm: string; bootId: string; atWallMs: number; }[] = [];
    const engineBoots = new Set<string>();
    let isActive = (): boolean => false;
    let onCorrupted: (() => void) | undefined;
    /** Last time at which access to the store was impaired, by process; the empty name stands for all processes. */
    const lastImpairedAtMs = new Map<string, number>();

    /**
     * Digests with a crash that was stored long enough ago to be known everywhere, each with the time of its latest
     * crash.
     */
    function listSuspects(): Map<string, number> {
        const stored = control.peek("quarantine") as { records: QuarantineRecord[]; } | undefined;
        const knownBeforeMs = clock.wallMs() - reportedWithinMs;
        const counted = (stored?.records ?? []).map(({ digest, deaths, liftedAtMs = 0 }) => ({
            digest,
            crashedAtMs: deaths.map(death => death.atMs).filter(atMs => atMs > liftedAtMs),
        }));
        const known = counted.filter(({ crashedAtMs }) => crashedAtMs.some(atMs => atMs < knownBeforeMs));
        return new Map(known.map(({ digest, crashedAtMs }) => [digest, Math.max(...crashedAtMs)]));
    }

    function crashRequestOf(prompt: string): { vms: Set<string>; runs: number; } {
        const known = crashRequests.get(prompt) ?? { vms: new Set<string>(), runs: 0 };
        crashRequests.set(prompt, known);
        return known;
    }

    function isStoreImpaired(name: string): boolean {
        return isDown || slowMs > 0 || network.isCut(name, "store");
    }

    /** Called often enough that no relevant impairment falls between two calls. */
    function storeReachableForMs(name: string): number {
        const nowMs = clock.monotonicMs();
        if (isStoreImpaired(name)) {
            lastImpairedAtMs.set(name, nowMs);
        }
        return nowMs - Math.max(lastImpairedAtMs.get(name) ?? 0, lastImpairedAtMs.get("") ?? 0);
    }

    return {
        clock,
        random,
        logger: createLogger(clock),
        guards,
        network: {
            ...network,
            cut: (a, b) => {
                network.cut(a, b);
                storeReachableForMs(a);
            },
            heal: (a, b) => {
                storeReachableForMs(a);
                network.heal(a, b);
            },
        },
        store: checked.store,
        storeControl: control,
        storeFaults: {
            setOutage: down => {
                isDown = down;
                lastImpairedAtMs.set("", clock.monotonicMs());
                control.setOutage(down);
            },
            setSlow: ms => {
                slowMs = ms;
                lastImpairedAtMs.set("", clock.monotonicMs());
                control.setSlow(ms);
            },
        },
        vmList,
        vms,
        violations,
        observer: createRunObserver(clock, violations, listSuspects),
        trueFencing: checked.trueFencing,
        storeReachableForMs,
        recordCrashRequestRun: prompt => {
            crashRequestOf(prompt).runs++;
        },
        recordSoleCrash: (prompt, vm) => void crashRequestOf(prompt).vms.add(vm),
        recordInducedCrash: (vm, bootId) =>
            void inducedCrashes.push({ vm, bootId, atWallMs: clock.wallMs() }),
        recordBoot: bootId => void engineBoots.add(bootId),
        isInducedCrash: ({ vm, bootId, atMs }) =>
            inducedCrashes.some(crash =>
                // A crash reported by entries names a sidecar's start, which only its time relates to an engine's
                // crash.
                engineBoots.has(bootId)
                    ? crash.bootId === bootId
                    : crash.vm === vm && Math.abs(crash.atWallMs - atMs) < reportedWithinMs
            ),
        isAnyEntryActive: () => isActive(),
        setEntryActivityCheck: check => {
            isActive = check;
        },
        crashRequests: () => crashRequests,
        corruptNextAnswer: listener => {
            onCorrupted = listener;
        },
        takeAnswerCorruption: () => {
            const listener = onCorrupted;
            onCorrupted = undefined;
            listener?.();
            return listener !== undefined;
        },
    };
}
