import type { z } from "zod";
import type { roleSettingsSchema } from "./roleSettingsSchema.js";

/** Validated settings of a gateway or a runner. */
export type RoleSettings = z.infer<typeof roleSettingsSchema>;
