import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";
import type { ItemResult } from "@auburnarch/batches/ItemResult";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { BatchJobRunDeps } from "../jobs/BatchJobRunDeps.js";
import { versionsOf } from "./versionsOf.js";

/** Turns an item's text into its result; undefined if the batch job has ended in the meantime. */
type FinishItem = (
    batchJob: BatchJob,
    item: BatchJobItem,
    spans: TokenSpan[],
    signal: AbortSignal,
) => Promise<ItemResult | undefined>;

/** Each event's data ends with a line feed here. It belongs between events, but not after the last one. */
const textOf = (spans: TokenSpan[]): string => spans.map(span => span.text).join("").slice(0, -1);

/**
 * Creates the function that finishes items. It requests the reward, which may only be requested for a complete text.
 */
export function createItemFinisher(
    deps: Pick<BatchJobRunDeps, "invariants" | "findRoute" | "scoreItem">,
): FinishItem {
    return async (batchJob, item, spans, signal) => {
        const versions = versionsOf(spans);
        const isFresh = versions.every(version => version >= batchJob.minVersion);
        deps.invariants.check(resultCodes.staleDelivered, isFresh, { lot: batchJob.lot, item: item.item });
        const generated = { item: item.item, output: textOf(spans), versions };
        if (item.reward === undefined) {
            return { ...generated, state: "completed", score: undefined };
        }
        const attempts = deps.findRoute(batchJob.host, item.path)?.maxAttempts ?? 1;
        const scored = await deps.scoreItem(item.reward, {}, attempts, signal);
        if (scored === undefined) {
            return undefined;
        }
        return scored.kind === "scored"
            ? { ...generated, state: "completed", score: scored.score }
            : { item: item.item, state: "terminated", output: "", versions: [], score: undefined };
    };
}
