import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import { createTestGroupStore } from "@auburnarch/ownership/testing/createTestGroupStore";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import { createBackends } from "./createBackends.js";
import { createCaller } from "./createCaller.js";
import { createEntryNode } from "./createEntryNode.js";
import { createSamplerNode } from "./createSamplerNode.js";
import { createSimulatedTrainer } from "./createSimulatedTrainer.js";
import type { EntryNode } from "./EntryNode.js";
import type { RunParts } from "./RunParts.js";
import type { Simulation } from "./Simulation.js";

/** One engine that reports versions and honours fencing, one that does neither, one that only reports versions. */
const modelKinds = [
    { name: "model-1", statesFingerprint: true, honoursFencing: true },
    { name: "model-2", statesFingerprint: false, honoursFencing: false },
    { name: "model-3", statesFingerprint: true, honoursFencing: false },
];
const entryLocations = [
    { name: "entry-1", failureDomain: "Pamplona" as FailureDomain },
    { name: "entry-2", failureDomain: "Lugo" as FailureDomain },
];
const plainNames = ["tiles-1", "tiles-2"];
const scoringLatencyMs = 5;
const weightTransferMs = 60;

/** Creates the components of a run: two entries, three model samplers, two plain ones, a trainer and a caller. */
export function createRunParts(
    simulation: Simulation,
    mayEnd: () => boolean,
): Pick<RunParts, "simulation" | "entries" | "models" | "plains" | "caller" | "trainer"> {
    const { clock } = simulation;
    const { scoring } = createFakeScoring({ clock, latencyMs: scoringLatencyMs });
    const { weightStore } = createFakeWeightStore({ clock, transferMs: weightTransferMs, maxConcurrent: 2 });
    const groupStore = createTestGroupStore();
    const backends = createBackends(simulation);
    const entries: EntryNode[] = [];

    const addresses = entryLocations.map(place => place.name);

    const models = modelKinds.map(kind => {
        let control: FakeEngineControl | undefined;
        const node = createSamplerNode(simulation, {
            name: kind.name,
            service: "rollout" as ServiceId,
            weightStore,
            entries: () => entries,
            addresses,
            createBackend: (sidecar, vm) => {
                const backend = backends.model(kind.name, vm, kind, sidecar);
                control = backend.control;
                return { engine: backend.engine, plain: undefined, crash: backend.control.crash };
            },
        });
        return { node, control: () => control! };
    });
    const plains = plainNames.map(name => {
        let setLatencyMs: (latencyMs: number) => void = () => undefined;
        const node = createSamplerNode(simulation, {
            name,
            service: "tiles" as ServiceId,
            weightStore,
            entries: () => entries,
            addresses,
            createBackend: () => {
                const { backend, control } = backends.plain(name);
                setLatencyMs = control.setLatency;
                return { engine: undefined, plain: backend, crash: () => undefined };
            },
        });
        return { node, setLatencyMs: (latencyMs: number) => setLatencyMs(latencyMs) };
    });
    for (const place of entryLocations) {
        entries.push(createEntryNode(simulation, {
            ...place,
            entries: () => entries,
            addresses,
            samplers: () => [...models.map(model => model.node), ...plains.map(plain => plain.node)],
            scoring,
            groupStore,
        }));
    }
    simulation.setEntryActivityCheck(() =>
        entries.some(entry => entry.running()?.process.isPaused() === false)
    );
    return {
        simulation,
        entries,
        models,
        plains,
        caller: createCaller(simulation, {
            team: "humoboira" as TeamId,
            service: "tiles" as ServiceId,
            entries,
            mayEnd,
        }),
        trainer: createSimulatedTrainer(simulation, { entries, mayEnd }),
    };
}
