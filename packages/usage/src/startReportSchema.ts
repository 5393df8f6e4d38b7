import type { TeamId } from "@auburnarch/types/TeamId";
import { z } from "zod";

const count = z.number().int().nonnegative();

/** Schema of a `StartReport` sent between processes. */
export const startReportSchema = z.object({
    source: z.string(),
    countedUntilMs: z.number(),
    counts: z.array(z.object({
        window: count,
        team: z.string().transform(value => value as TeamId),
        requests: count,
    })),
});
