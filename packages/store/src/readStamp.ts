import { z } from "zod";
import type { WriteStamp } from "./WriteStamp.js";

const stamped = z.object({ stamp: z.object({ writer: z.string(), sequence: z.number().int() }) });

/** The stamp in a stored value; undefined where it has none. */
export function readStamp(value: unknown): WriteStamp | undefined {
    const parsed = stamped.safeParse(value);
    return parsed.success ? parsed.data.stamp : undefined;
}
