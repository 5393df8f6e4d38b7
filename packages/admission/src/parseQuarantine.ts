import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { z } from "zod";

const quarantineValue = z.object({
    records: z.array(z.object({
        digest: z.string(),
        deaths: z.array(z.object({
            vm: z.string(),
            bootId: z.string(),
            atMs: z.number(),
            contents: z.number().optional(),
        })),
        expiresAtMs: z.number(),
        liftedAtMs: z.number().optional(),
        trials: z.array(z.object({ trial: z.string(), atMs: z.number() })).optional(),
    })),
});

/** Parses the value of the shared document `quarantine`; undefined if it is invalid. */
export function parseQuarantine(value: unknown): QuarantineRecord[] | undefined {
    const parsed = quarantineValue.safeParse(value);
    return parsed.success ? parsed.data.records as QuarantineRecord[] : undefined;
}
