import type { ResultChunk } from "@auburnarch/batches/ResultChunk";

/** Total number of characters of the outputs in some chunks. */
export const countChars = (chunks: ResultChunk[]): number =>
    chunks.reduce(
        (sum, chunk) => sum + chunk.results.reduce((inner, { output }) => inner + output.length, 0),
        0,
    );
