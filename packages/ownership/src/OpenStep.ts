import type { CursorState } from "@auburnarch/cursors/CursorState";
import type { StepLedger } from "@auburnarch/ledger/StepLedger";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { StepDocument } from "./StepDocument.js";

/** A step that has groups left to generate or deliver. */
export interface OpenStep {
    document: StepDocument;
    ledger: StepLedger;
    /** The cursor with the most groups that the trainer has presented. */
    furthestCursor: CursorState;
    /** Pages issued, by `pageKey` of the cursor that they answered. */
    issuedPages: Map<string, GroupsPage>;
    /**
     * Samples that are at the dispatcher, being scored or waiting for a retry, each with its submission number: a
     * sample that is withdrawn and requested again gets a new number, and the first submission's answer is dropped.
     */
    outstanding: Map<SampleId, number>;
}
