import { z } from "zod";
import type { LeaseValue } from "./LeaseValue.js";

const leaseValue = z.object({
    holder: z.string().optional(),
    fencing: z.number().int().positive().optional(),
    ttlMs: z.number().positive(),
    isSettled: z.boolean().optional(),
    stamp: z.object({ writer: z.string(), sequence: z.number().int() }),
});

/** Parses the value of a lease object; undefined if the object contains something else. */
export function parseLeaseValue(value: unknown): LeaseValue | undefined {
    const parsed = leaseValue.safeParse(value);
    return parsed.success ? { holder: undefined, fencing: undefined, ...parsed.data } : undefined;
}
