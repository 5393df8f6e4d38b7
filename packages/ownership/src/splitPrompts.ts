import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { StepDocument } from "./StepDocument.js";

/** The object API accepts 1 MB; the margin is for characters that JSON escapes. */
const maxChunkBytes = 600_000;

/** Splits prompts into lists that each fit into one object. Throws `bodyTooLarge` if a single prompt doesn't fit. */
export function splitPrompts(prompts: StepDocument["prompts"]): StepDocument["prompts"][] {
    const chunks: StepDocument["prompts"][] = [[]];
    let chunkBytes = 0;
    for (const prompt of prompts) {
        const bytes = Buffer.byteLength(JSON.stringify(prompt)) + 1;
        if (bytes > maxChunkBytes) {
            throw new ResultError(
                resultCodes.bodyTooLarge,
                `prompt: ${bytes} bytes, limit ${maxChunkBytes}`,
            );
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
