import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { createCaller } from "./createCaller.js";
import type { EntryNode } from "./EntryNode.js";
import type { FaultKind } from "./FaultKind.js";
import type { SamplerNode } from "./SamplerNode.js";
import type { SimulatedTrainer } from "./SimulatedTrainer.js";
import type { Simulation } from "./Simulation.js";

/** The components of one run into which faults are injected. */
export interface RunParts {
    simulation: Simulation;
    entries: EntryNode[];
    models: { node: SamplerNode; control: () => FakeEngineControl; }[];
    plains: { node: SamplerNode; setLatencyMs(latencyMs: number): void; }[];
    caller: ReturnType<typeof createCaller>;
    trainer: SimulatedTrainer;
    /** Content digests of the requests that do crash engines. */
    crashRequestDigests: Set<string>;
    /** Prompt of the next crash-inducing request; the prompts are used in rotation. */
    nextCrashPrompt(): string;
    /** Counts a fault that took effect. */
    countFault(kind: FaultKind): void;
    /** Records that a process is paused for `durationMs` from now; the run continues until it has resumed. */
    recordFrozen(durationMs: number): void;
    /** Keeps lasting faults from being healed for at least `durationMs`. */
    delayHealing(durationMs: number): void;
    /** Whether a process is paused. Pausing a second one at the same time would leave no entry running. */
    isFrozen(): boolean;
}
