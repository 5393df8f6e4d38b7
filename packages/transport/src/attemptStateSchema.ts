import type { AttemptState } from "@auburnarch/types/AttemptState";
import { z } from "zod";

/** Attempt state as a sidecar reports it on the wire. */
export const attemptStateSchema = z.object({
    incarnation: z.string().min(1).max(512),
    state: z.enum(["neverSeen", "refused", "running", "finished"]),
}) as unknown as z.ZodType<AttemptState>;
