import type { UsageCounter } from "@auburnarch/types/UsageCounter";
import { z } from "zod";

const name = z.string().max(512);

/** Usage counters as received from another process. */
export const usageCountersSchema = z.array(z.object({
    sampler: name,
    incarnation: name,
    team: name,
    job: name.optional(),
    engineMs: z.number().nonnegative(),
    tokens: z.number().nonnegative(),
    requests: z.number().nonnegative(),
})) as unknown as z.ZodType<UsageCounter[]>;
