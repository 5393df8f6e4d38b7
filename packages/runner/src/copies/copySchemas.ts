import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { z } from "zod";

const count = z.int().nonnegative();
const lot = z.string().min(1).transform(value => value as BatchJobId);
const item = z.string().transform(value => value as SampleId);
const text = {
    item,
    spans: z.array(z.object({
        version: count.transform(value => value as WeightVersion),
        tokens: z.int().positive(),
        text: z.string(),
    })),
    isComplete: z.boolean(),
};

/** Schemas of the messages about copies of texts. */
export const copySchemas = {
    storeTexts: z.object({
        lot,
        from: z.string(),
        items: z.array(z.object({ ...text, source: z.string(), fromEvent: count })),
        isOver: z.boolean().optional(),
    }),
    storeTextsAnswer: z.object({ events: z.record(z.string(), count) }),
    readTexts: z.object({ lot, from: z.string(), after: item.optional() }),
    readTextsAnswer: z.object({ texts: z.array(z.object(text)), hasMore: z.boolean().optional() }),
};
