import type { SampleId } from "@auburnarch/types/SampleId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** The final result of one item. */
export interface ItemResult {
    item: SampleId;
    state: "completed" | "terminated";
    /** Data of all events in order, joined by line feeds. */
    output: string;
    /** Weight versions that generated the output, each once, in order of appearance. */
    versions: WeightVersion[];
    /** Signature of the scoring service's response; undefined if no reward was requested or none was received. */
    score: string | undefined;
}
