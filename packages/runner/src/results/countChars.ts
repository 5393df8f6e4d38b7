import type { ResultChunk } from "@auburnarch/batches/ResultChunk";

/** Characters of the texts in some chunks. */
export const countChars = (chunks: ResultChunk[]): number =>
    chunks.reduce(
        (sum, chunk) => sum + chunk.results.reduce((inner, { output }) => inner + output.length, 0),
        0,
    );
