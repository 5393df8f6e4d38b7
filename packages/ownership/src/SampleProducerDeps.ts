import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import type { JobState } from "./JobState.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerGuards } from "./OwnerGuards.js";

/** Dependencies of a sample producer. */
export interface SampleProducerDeps {
    state: JobState;
    guards: OwnerGuards;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    scoring: ScoringPort;
    dispatcher: Dispatcher;
    isStopped: () => boolean;
    /** Called when the last sample of a group has been committed. */
    onGroupComplete: (step: OpenStep, group: SampleGroup) => void;
}
