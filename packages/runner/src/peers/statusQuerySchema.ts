import { z } from "zod";

/** How a `StatusQuery` goes between processes; one of an earlier version asks for nothing beside. */
export const statusQuerySchema = z.object({ wantsStarts: z.boolean().default(false) });
