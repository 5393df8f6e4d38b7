import type { z } from "zod";

/** Makes the decoder of a watched kind from a schema; what the schema does not take is dropped. */
export function decodeWith<T>(schema: z.ZodType<T>): (name: string, value: unknown) => T | undefined {
    return (_name, value) => {
        const parsed = schema.safeParse(value);
        return parsed.success ? parsed.data : undefined;
    };
}
