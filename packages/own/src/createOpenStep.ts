import { createStepLedger } from "@auburnarch/commit/createStepLedger";
import type { LedgerGuards } from "@auburnarch/commit/LedgerGuards";
import type { CursorState } from "@auburnarch/deliver/CursorState";
import type { OpenStep } from "./OpenStep.js";
import type { StepDocument } from "./StepDocument.js";

/** Makes an open step with nothing made yet. */
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
