import type { z } from "zod";
import type { roleSettingsSchema } from "./roleSettingsSchema.js";

type Parsed = z.infer<typeof roleSettingsSchema>;
/** Settings whose defaults depend on other settings. */
type Derived = "textCopies" | "relaysStoreCalls" | "prioritizesLateTrainers";

/** Validated settings of a gateway or a runner. */
export type RoleSettings = Omit<Parsed, Derived> & { [Name in Derived]-?: NonNullable<Parsed[Name]>; };
