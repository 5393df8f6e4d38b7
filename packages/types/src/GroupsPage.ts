import type { FencingNumber } from "./FencingNumber.js";
import type { JobId } from "./JobId.js";
import type { SampleGroup } from "./SampleGroup.js";
import type { StepNumber } from "./StepNumber.js";

/** Answer to a trainer's read. The next read, with `cursor`, acknowledges `groups`. */
export interface GroupsPage {
    job: JobId;
    step: StepNumber;
    /** A trainer drops a page whose number is lower than the highest it has seen. */
    fencing: FencingNumber;
    groups: SampleGroup[];
    cursor: string;
    /** True once the cursor covers every group of the step. */
    done: boolean;
}
