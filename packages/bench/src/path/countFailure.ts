import type { Failures } from "./Failures.js";

/** Counts a failed request by its error message. */
export function countFailure(failures: Failures, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    failures[reason] = (failures[reason] ?? 0) + 1;
}
