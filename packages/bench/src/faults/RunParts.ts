import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { createCaller } from "./createCaller.js";
import type { EntryNode } from "./EntryNode.js";
import type { FaultKind } from "./FaultKind.js";
import type { SamplerNode } from "./SamplerNode.js";
import type { SimulatedTrainer } from "./SimulatedTrainer.js";
import type { Simulation } from "./Simulation.js";

/** What faults strike in one run. */
export interface RunParts {
    simulation: Simulation;
    entries: EntryNode[];
    models: { node: SamplerNode; control: () => FakeEngineControl; }[];
    plains: { node: SamplerNode; setLatencyMs(latencyMs: number): void; }[];
    caller: ReturnType<typeof createCaller>;
    trainer: SimulatedTrainer;
    /** Digests of the contents that truly kill engines. */
    crashRequestDigests: Set<string>;
    /** Prompt of the next content that kills engines; they take turns. */
    nextCrashPrompt(): string;
    /** Counts a fault that truly struck. */
    countFault(kind: FaultKind): void;
    /** A process sleeps so long from now; the run goes on until it has woken. */
    recordFrozen(durationMs: number): void;
    /** Faults that last are not ended before then. */
    delayHealing(durationMs: number): void;
    /** A process sleeps so; a second one at the same time would leave nobody. */
    isFrozen(): boolean;
}
