import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { z } from "zod";

const version = z.number().int().nonnegative().transform(value => value as ObjectVersion);
const key = z.string().min(1);
const timeoutMs = z.number().positive().max(10_000);
const object = z.object({ key: z.string(), version, value: z.unknown() });

/** Wire schemas of a relayed `StoreCall` and of its `StoreCallAnswer`. */
export const storeCallSchemas = {
    call: z.discriminatedUnion("call", [
        z.object({ call: z.literal("read"), key, timeoutMs }),
        z.object({
            call: z.literal("write"),
            key,
            value: z.unknown().refine(value => value !== undefined, "missing"),
            expectedVersion: version,
            timeoutMs,
        }),
        z.object({ call: z.literal("remove"), key, expectedVersion: version, timeoutMs }),
    ]),
    answer: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("read"), object: object.optional() }),
        z.object({ kind: z.literal("written"), version }),
        z.object({ kind: z.literal("conflict"), current: object.optional() }),
        z.object({ kind: z.literal("refused"), code: z.number().int() }),
        z.object({ kind: z.literal("unknown") }),
    ]),
};
