import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { createCaller } from "./createCaller.js";
import type { EntryNode } from "./EntryNode.js";
import type { FaultKind } from "./FaultKind.js";
import type { SamplerNode } from "./SamplerNode.js";
import type { TrainerSide } from "./TrainerSide.js";
import type { World } from "./World.js";

/** What faults strike in one run. */
export interface RunParts {
    world: World;
    entries: EntryNode[];
    models: { node: SamplerNode; control: () => FakeEngineControl; }[];
    plains: { node: SamplerNode; setLatencyMs(latencyMs: number): void; }[];
    caller: ReturnType<typeof createCaller>;
    trainer: TrainerSide;
    /** Digests of the contents that truly kill engines. */
    poisonDigests: Set<string>;
    /** Prompt of the next content that kills engines; they take turns. */
    nextKiller(): string;
    /** Counts a fault that truly struck. */
    struck(kind: FaultKind): void;
    /** A process sleeps so long from now; the run goes on until it has woken. */
    noteFrozen(durationMs: number): void;
    /** Faults that last are not ended before then. */
    holdHealingFor(durationMs: number): void;
    /** A process sleeps so; a second one at the same time would leave nobody. */
    isFrozen(): boolean;
}
