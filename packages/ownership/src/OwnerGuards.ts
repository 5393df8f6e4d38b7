import type { isGenuineCursor } from "@auburnarch/cursors/isGenuineCursor";
import type { LedgerGuards } from "@auburnarch/ledger/LedgerGuards";
import type { JobId } from "@auburnarch/types/JobId";
import type { MadeSample } from "@auburnarch/types/MadeSample";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { SampleProblem } from "@auburnarch/validation/SampleProblem";
import type { VersionBounds } from "@auburnarch/validation/VersionBounds";
import type { AuthorityState } from "./AuthorityState.js";

/** The checks that keep an owner's promises. The fault bench replaces one at a time and shows what is lost. */
export interface OwnerGuards extends LedgerGuards {
    mayRun: (state: AuthorityState) => boolean;
    /** False if a number that came back from outside shows a newer owner than this one. */
    isOwnNumberCurrent: (seen: number, own: number) => boolean;
    isGenuineCursor: typeof isGenuineCursor;
    /** True if the cursor's trainer does not have the group yet. */
    isUndelivered: (delivered: Uint8Array, group: number) => boolean;
    /** True if a sample may still be delivered now. */
    isFresh: (spans: readonly TokenSpan[], minVersion: WeightVersion) => boolean;
    findSampleProblem: (job: JobId, made: MadeSample, bounds: VersionBounds) => SampleProblem | undefined;
    /** True if a page issued for a cursor is to be issued again for the same cursor. */
    repeatsPage: () => boolean;
    /** True if a published version may follow the one that stands. */
    isHigherVersion: (version: number, current: number) => boolean;
}
