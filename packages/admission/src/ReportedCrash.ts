import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";

/** A crash as reported by one process. */
export interface ReportedCrash {
    vm: VmId;
    bootId: string;
    /** Number of contents in flight at the crash, if counted; may exceed the reported digests. */
    contents: number | undefined;
    digests: ContentDigest[];
}
