import type { z } from "zod";

/** Creates the decoder of a watched kind from a schema; values that do not match the schema are dropped. */
export function decodeWith<T>(schema: z.ZodType<T>): (name: string, value: unknown) => T | undefined {
    return (_name, value) => {
        const parsed = schema.safeParse(value);
        return parsed.success ? parsed.data : undefined;
    };
}
