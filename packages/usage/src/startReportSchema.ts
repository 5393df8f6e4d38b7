import type { TeamId } from "@auburnarch/types/TeamId";
import { z } from "zod";

const count = z.number().int().nonnegative();

/** How a `StartReport` goes between processes. */
export const startReportSchema = z.object({
    source: z.string(),
    countedUntilMs: z.number(),
    counts: z.array(z.object({
        window: count,
        team: z.string().transform(value => value as TeamId),
        requests: count,
    })),
});
