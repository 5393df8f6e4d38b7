import type { z } from "zod";
import type { settingsSchema } from "./settingsSchema.js";

/** Settings of one process, checked, with defaults filled in. docs/settings.md lists each. */
export type Settings = z.infer<typeof settingsSchema>;
