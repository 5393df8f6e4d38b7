import { z } from "zod";
import { samplerReportSchema } from "./samplerReportSchema.js";

/** Result of an order on the wire; result codes are sent as numbers. */
export const orderResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), report: samplerReportSchema }),
    z.object({ kind: z.literal("refused"), code: z.number(), report: samplerReportSchema }),
    z.object({ kind: z.literal("unknown"), code: z.number() }),
]);
