import { z } from "zod";

/** `jobs/<job>/checkpoint`: what a new owner cannot learn from the steps and the trainer. */
export const checkpointSchema = z.object({
    fencing: z.number(),
    /** Steps whose trainer has every group; the oldest are forgotten beyond a bound. */
    completed: z.array(z.object({ step: z.number(), digest: z.string() })),
    /** Every step below this number is over. */
    retiredBelow: z.number(),
    /** Engine time of the samples of completed steps. */
    deliveredEngineMs: z.number(),
    deliveredSamples: z.number().default(0),
    deliveredTokens: z.number().default(0),
    discardedEngineMs: z.number(),
    /** The furthest cursor seen of each open step. */
    cursors: z.array(z.object({ step: z.number(), cursor: z.string() })),
});
