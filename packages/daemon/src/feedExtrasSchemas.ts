import { startReportSchema } from "@auburnarch/usage/startReportSchema";
import { z } from "zod";

/** Beside a question or an answer; a process of an earlier version sends none. */
export const feedExtrasSchemas = {
    query: z.object({ starts: startReportSchema.optional() }),
    answer: z.object({ trueMs: z.number().optional() }),
};
