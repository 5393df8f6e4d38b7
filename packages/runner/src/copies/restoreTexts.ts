import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { countTokens } from "@auburnarch/dispatch/countTokens";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Logger } from "@auburnarch/types/Logger";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TextCache } from "../items/TextCache.js";
import { textKeyOf } from "../items/textKeyOf.js";
import { chooseText } from "./chooseText.js";
import type { FoundText } from "./FoundText.js";

interface RestoreTextsInput {
    batchJob: BatchJob;
    found: readonly FoundText[];
    /** Whether an item's result is in the store. */
    isRecorded: (item: SampleId) => boolean;
    textCache: Pick<TextCache, "find" | "put">;
    logger: Logger;
    metrics: Metrics;
}

/** Puts the copies found into the text cache where they are longer than its own texts, so that items resume from them. */
export function restoreTexts(input: RestoreTextsInput): void {
    const { batchJob, found, textCache, logger, metrics } = input;
    const byItem = new Map<SampleId, FoundText[]>();
    found.forEach(text => byItem.set(text.item, [...byItem.get(text.item) ?? [], text]));
    const restored: FoundText[] = [];
    for (const { item } of batchJob.items) {
        const key = textKeyOf(batchJob, item);
        const copies = input.isRecorded(item) ? [] : byItem.get(item) ?? [];
        const own = textCache.find(key, batchJob.minVersion);
        const candidates = own === undefined ? copies : [{ ...own, item, from: "" }, ...copies];
        const chosen = chooseText(candidates, batchJob.minVersion);
        if (chosen !== undefined && copies.includes(chosen)) {
            textCache.put(key, { spans: chosen.spans, isComplete: chosen.isComplete });
            restored.push(chosen);
        }
    }
    if (restored.length > 0) {
        metrics.count("texts_restored_total", {}, restored.length);
        logger.info("textsRestored", {
            lot: batchJob.lot,
            items: restored.length,
            events: restored.reduce((sum, { spans }) => sum + countTokens(spans), 0),
            from: [...new Set(restored.map(({ from }) => from))].sort().join(","),
        });
    }
}
