import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { StepDocument } from "./StepDocument.js";

/** Well below the object API's megabyte, as JSON may escape. */
const maxChunkBytes = 600_000;

/** Splits prompts into lists that each fit one object. Throws `bodyTooLarge` for a prompt that fits none. */
export function splitPrompts(prompts: StepDocument["prompts"]): StepDocument["prompts"][] {
    const chunks: StepDocument["prompts"][] = [[]];
    let chunkBytes = 0;
    for (const prompt of prompts) {
        const bytes = Buffer.byteLength(JSON.stringify(prompt)) + 1;
        if (bytes > maxChunkBytes) {
            throw new ResultError(resultCodes.bodyTooLarge, `prompt: ${bytes} bytes, limit ${maxChunkBytes}`);
        }
        if (chunkBytes + bytes > maxChunkBytes) {
            chunks.push([]);
            chunkBytes = 0;
        }
        chunks[chunks.length - 1]!.push(prompt);
        chunkBytes += bytes;
    }
    return chunks;
}
