import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";

/** A death as one process tells of it. */
export interface ReportedCrash {
    vm: VmId;
    bootId: string;
    /** What was in flight at it, where that was counted; may be more than is told of. */
    contents: number | undefined;
    digests: ContentDigest[];
}
