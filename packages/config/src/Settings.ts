import type { z } from "zod";
import type { settingsSchema } from "./settingsSchema.js";

/** Validated settings of an entry or a sidecar with defaults filled in; docs/settings.md describes each. */
export type Settings = z.infer<typeof settingsSchema>;
