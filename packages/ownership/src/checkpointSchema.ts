import { z } from "zod";

/** `jobs/<job>/checkpoint`: state that a new owner can't derive from the stored steps or the trainer's cursors. */
export const checkpointSchema = z.object({
    fencing: z.number(),
    /** Steps of which the trainer has acknowledged every group; beyond a limit the oldest are dropped. */
    completed: z.array(z.object({ step: z.number(), digest: z.string() })),
    /** Every step below this number is finished. */
    retiredBelow: z.number(),
    /** Engine time of the samples of completed steps. */
    deliveredEngineMs: z.number(),
    deliveredSamples: z.number().default(0),
    deliveredTokens: z.number().default(0),
    discardedEngineMs: z.number(),
    /** The furthest cursor presented for each open step. */
    cursors: z.array(z.object({ step: z.number(), cursor: z.string() })),
});
