import type { z } from "zod";
import type { checkpointSchema } from "./checkpointSchema.js";

/** What a new owner cannot learn from the steps and the trainer. */
export type Checkpoint = z.infer<typeof checkpointSchema>;
