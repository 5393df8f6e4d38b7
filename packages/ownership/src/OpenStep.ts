import type { CursorState } from "@auburnarch/cursors/CursorState";
import type { StepLedger } from "@auburnarch/ledger/StepLedger";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { StepDocument } from "./StepDocument.js";

/** A step that an owner works on. */
export interface OpenStep {
    document: StepDocument;
    ledger: StepLedger;
    /** The cursor with the most groups that the trainer has shown. */
    furthestCursor: CursorState;
    /** Pages issued, by what their reader's cursor said. */
    issuedPages: Map<string, GroupsPage>;
    /**
     * Samples that are with the dispatcher, being scored, or about to be tried again, each with the number of its
     * submission: a sample withdrawn and wanted again is another submission, and the first one's answer is dropped.
     */
    outstanding: Map<SampleId, number>;
}
