import { startReportSchema } from "@auburnarch/usage/startReportSchema";
import { z } from "zod";

/** Additional fields of feed queries and answers; processes of earlier versions do not send them. */
export const feedExtrasSchemas = {
    query: z.object({ starts: startReportSchema.optional() }),
    answer: z.object({ trueMs: z.number().optional() }),
};
