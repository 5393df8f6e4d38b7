import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import { z } from "zod";

const name = z.string().min(1).max(512);
const nonNegativeInteger = z.number().int().nonnegative();

const engineOrder = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("load"),
        policy: name,
        version: nonNegativeInteger,
        location: z.string().max(2_048),
        fencing: nonNegativeInteger,
    }),
    z.strictObject({ kind: z.literal("unload"), policy: name, fencing: nonNegativeInteger }),
    z.strictObject({
        kind: z.literal("setRole"),
        role: z.enum(["prefill", "decode", "both"]),
        fencing: nonNegativeInteger,
    }),
]);

/** Sampler order as received from another process; unknown keys are rejected. */
export const samplerOrderSchema = z.strictObject({
    scope: name,
    order: engineOrder,
}) as unknown as z.ZodType<SamplerOrder>;
