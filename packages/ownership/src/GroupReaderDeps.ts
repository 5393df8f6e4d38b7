import type { CursorCodec } from "@auburnarch/cursors/CursorCodec";
import type { CursorState } from "@auburnarch/cursors/CursorState";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { Authority } from "./Authority.js";
import type { createNotifier } from "./createNotifier.js";
import type { JobState } from "./JobState.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import type { SampleProducer } from "./SampleProducer.js";

/** Dependencies of a group reader. */
export interface GroupReaderDeps {
    state: JobState;
    fencing: FencingNumber;
    codec: CursorCodec;
    authority: Authority;
    producer: SampleProducer;
    guards: OwnerGuards;
    invariants: Invariants;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    notifier: ReturnType<typeof createNotifier>;
    /** Looks up a step that another owner may have opened; undefined if there is none. */
    findStep: (step: number) => Promise<OpenStep | undefined>;
    /** Called when a cursor covers these groups for the first time. */
    onAcknowledged: (step: OpenStep, cursor: CursorState, groups: number[]) => void;
    /** Resolves once the completion of a step is durable, or after a short timeout. */
    flushCheckpoint: () => Promise<void>;
}
