import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import { z } from "zod";

/** Stored object of a content that may crash samplers; times are wall times. */
export const trialRecordSchema = z.object({
    /** Starts of samplers that broke the content off, as the process knew them that took the latest trial. */
    breaks: z.array(z.object({
        sampler: z.string().transform(value => value as IncarnationId),
        atMs: z.number(),
    })),
    /** Time of the latest completed attempt, which clears the breaks before it. */
    completedAtMs: z.number().optional(),
    /** The latest trial, unless it ended without a run; a completed one removes the object. */
    trial: z.object({ id: z.string(), atMs: z.number(), limitMs: z.number() }).optional(),
});
