import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { SampleId } from "@auburnarch/types/SampleId";

/** Request for the copies that a peer holds of a batch job's texts. */
export interface ReadTextsRequest {
    lot: BatchJobId;
    /** Name of the sender. */
    from: string;
    /** Last item of the answer before; absent in the first request. */
    after?: SampleId;
}
