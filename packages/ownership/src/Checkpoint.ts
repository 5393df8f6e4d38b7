import type { z } from "zod";
import type { checkpointSchema } from "./checkpointSchema.js";

/** State that a new owner can't derive from the stored steps or the trainer's cursors. */
export type Checkpoint = z.infer<typeof checkpointSchema>;
