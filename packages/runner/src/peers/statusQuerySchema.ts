import { z } from "zod";

/** Wire format of `StatusQuery`; a process of an earlier version requests nothing in addition. */
export const statusQuerySchema = z.object({ wantsStarts: z.boolean().default(false) });
