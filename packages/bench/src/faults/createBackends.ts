import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { FakePlainServiceControl } from "@auburnarch/fakes/FakePlainServiceControl";
import { hashText } from "@auburnarch/fakes/hashText";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createWitnessedEngine } from "./createWitnessedEngine.js";
import type { SidecarProcess } from "./SidecarProcess.js";
import type { World } from "./World.js";

interface ModelBackend {
    engine: EnginePort;
    control: FakeEngineControl;
}

interface PlainBackendServer {
    backend: PlainBackend;
    control: FakePlainServiceControl;
}

/** Prompts that hold this text crash every engine that runs them. */
const poisonText = "poison";
const crashAfterMs = 30;
const reportedWithinMs = 2_000;

/** Makes the backend servers of a run. */
export const createBackends = (world: World): {
    model(
        node: string,
        vm: string,
        kind: { statesFingerprint: boolean; honoursFencing: boolean; },
        sidecar: () => SidecarProcess | undefined,
    ): ModelBackend;
    plain(node: string): PlainBackendServer;
} => ({
    model: (node, vm, kind, sidecar) => {
        const { clock, witness } = world;
        const { engine, control } = createFakeEngine({
            clock,
            random: world.random.fork(),
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
        control.killOn(request => request.prompt.includes(poisonText), crashAfterMs);
        const witnessed = createWitnessedEngine({
            node,
            engine,
            control,
            clock,
            witness,
            sidecar,
            statesFingerprint: kind.statesFingerprint,
            onStart: (request, countRunning) => {
                const bootId = control.bootId();
                world.noteBoot(bootId);
                if (!request.prompt.includes(poisonText)) {
                    return;
                }
                const present = sidecar();
                world.notePoison(request.prompt);
                clock.startTimer(crashAfterMs - 1, () => {
                    const isAlone = countRunning() === 1 && control.isUp();
                    world.notePoisonDeath(vm, bootId);
                    clock.startTimer(reportedWithinMs, () => {
                        // A sidecar that dies before it could report the death takes the knowledge with it.
                        if (
                            isAlone && present !== undefined && sidecar() === present && world.isEntryAwake()
                        ) {
                            world.notePoisonAlone(request.prompt, vm);
                        }
                    });
                });
            },
        });
        return { engine: witnessed, control };
    },
    plain: node => {
        const { backend, control } = createFakePlainService({ clock: world.clock, latencyMs: 20 });
        return {
            backend: (request, signal) => {
                world.witness.notePlainStart(node, request);
                return backend(request, signal);
            },
            control,
        };
    },
});
