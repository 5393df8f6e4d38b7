import type { isGenuineCursor } from "@auburnarch/cursors/isGenuineCursor";
import type { LedgerGuards } from "@auburnarch/ledger/LedgerGuards";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { JobId } from "@auburnarch/types/JobId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { SampleProblem } from "@auburnarch/validation/SampleProblem";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import type { AuthorityState } from "./AuthorityState.js";

/** The checks behind an owner's guarantees. The fault bench replaces one at a time to show what then fails. */
export interface OwnerGuards extends LedgerGuards {
    mayRun: (state: AuthorityState) => boolean;
    /** False if a fencing number received from outside belongs to a newer owner. */
    isOwnNumberCurrent: (seen: number, own: number) => boolean;
    isGenuineCursor: typeof isGenuineCursor;
    /** True if the cursor does not cover the group. */
    isUndelivered: (delivered: Uint8Array, group: number) => boolean;
    /** True if a sample may still be delivered now. */
    isFresh: (spans: readonly TokenSpan[], minVersion: WeightVersion) => boolean;
    findSampleProblem: (
        job: JobId,
        generated: GeneratedSample,
        bounds: VersionBounds,
    ) => SampleProblem | undefined;
    /** True if a repeated read with the same cursor must get the same page. */
    repeatsPage: () => boolean;
    /** True if a published version may replace the current one. */
    isHigherVersion: (version: number, current: number) => boolean;
}
