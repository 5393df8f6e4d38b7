import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { FakePlainServiceControl } from "@auburnarch/fakes/FakePlainServiceControl";
import { hashText } from "@auburnarch/fakes/hashText";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createObservedEngine } from "./createObservedEngine.js";
import type { SidecarProcess } from "./SidecarProcess.js";
import type { Simulation } from "./Simulation.js";

interface ModelBackend {
    engine: EnginePort;
    control: FakeEngineControl;
}

interface PlainBackendServer {
    backend: PlainBackend;
    control: FakePlainServiceControl;
}

/** Prompts that contain this text crash every engine that runs them. */
const crashText = "poison";
const crashAfterMs = 30;
const reportedWithinMs = 2_000;

/** Creates the backend servers of a run. */
export const createBackends = (simulation: Simulation): {
    model(
        node: string,
        vm: string,
        kind: { statesFingerprint: boolean; honoursFencing: boolean; },
        sidecar: () => SidecarProcess | undefined,
    ): ModelBackend;
    plain(node: string): PlainBackendServer;
} => ({
    model: (node, vm, kind, sidecar) => {
        const { clock, observer } = simulation;
        const { engine, control } = createFakeEngine({
            clock,
            random: simulation.random.fork(),
            served: [{ policy: "plume" as PolicyId, version: 0 as WeightVersion }],
            maxBatch: 2,
            tokensPerSecond: 150,
            swapMs: 150,
            chunkMs: 50,
            honoursFencing: kind.honoursFencing,
            statesFingerprint: true,
            lengthOf: request => 6 + (hashText(request.prompt) + request.seed) % 18,
            restartAfterMs: 600,
        });
        control.crashOn(request => request.prompt.includes(crashText), crashAfterMs);
        const observed = createObservedEngine({
            node,
            engine,
            control,
            clock,
            observer,
            sidecar,
            statesFingerprint: kind.statesFingerprint,
            onStart: (request, countRunning) => {
                const bootId = control.bootId();
                simulation.recordBoot(bootId);
                if (!request.prompt.includes(crashText)) {
                    return;
                }
                const present = sidecar();
                simulation.recordCrashRequestRun(request.prompt);
                clock.startTimer(crashAfterMs - 1, () => {
                    const isAlone = countRunning() === 1 && control.isUp();
                    simulation.recordInducedCrash(vm, bootId);
                    clock.startTimer(reportedWithinMs, () => {
                        // The crash is not known if the sidecar ended before it could report it.
                        if (
                            isAlone && present !== undefined && sidecar() === present
                            && simulation.isAnyEntryActive()
                        ) {
                            simulation.recordSoleCrash(request.prompt, vm);
                        }
                    });
                });
            },
        });
        return { engine: observed, control };
    },
    plain: node => {
        const { backend, control } = createFakePlainService({ clock: simulation.clock, latencyMs: 20 });
        return {
            backend: (request, signal) => {
                simulation.observer.recordPlainStart(node, request);
                return backend(request, signal);
            },
            control,
        };
    },
});
