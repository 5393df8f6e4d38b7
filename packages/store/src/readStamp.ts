import { z } from "zod";
import type { WriteStamp } from "./WriteStamp.js";

const stamped = z.object({ stamp: z.object({ writer: z.string(), sequence: z.number().int() }) });

/** Reads the write stamp of a stored value; undefined if it has none. */
export function readStamp(value: unknown): WriteStamp | undefined {
    const parsed = stamped.safeParse(value);
    return parsed.success ? parsed.data.stamp : undefined;
}
