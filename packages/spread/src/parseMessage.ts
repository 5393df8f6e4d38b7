import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { SpreadMessage } from "./SpreadMessage.js";
import { spreadMessageSchema } from "./spreadMessageSchema.js";

/** Checks the shape of a message. Throws `badRequest` naming the first fault. */
export function parseMessage(message: unknown): SpreadMessage {
    const parsed = spreadMessageSchema.safeParse(message);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        throw new ResultError(
            resultCodes.badRequest,
            `${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`,
        );
    }
    return parsed.data;
}
