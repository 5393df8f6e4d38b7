import type { z } from "zod";
import type { scenarioSchema } from "./scenarioSchema.js";

/** A validated policy scenario with its defaults filled in. */
export type Scenario = z.output<typeof scenarioSchema>;
