import type { CursorState } from "@auburnarch/cursors/CursorState";
import { createStepLedger } from "@auburnarch/ledger/createStepLedger";
import type { LedgerGuards } from "@auburnarch/ledger/LedgerGuards";
import type { OpenStep } from "./OpenStep.js";
import type { StepDocument } from "./StepDocument.js";

/** Creates an open step without any samples. */
export function createOpenStep(
    document: StepDocument,
    furthest: CursorState,
    guards: LedgerGuards,
): OpenStep {
    return {
        document,
        ledger: createStepLedger(document.prompts.length, document.groupSize, guards),
        furthestCursor: furthest,
        issuedPages: new Map(),
        outstanding: new Map(),
    };
}
