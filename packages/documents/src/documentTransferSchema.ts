import { z } from "zod";

const documentName = z.string().min(1).max(128);
const version = z.int().min(0);
const delta = z.strictObject({
    startChars: z.int().min(0),
    removedChars: z.int().min(0),
    inserted: z.string(),
    sha256: z.string(),
});

/** Schema of a `DocumentTransfer` received from another process. */
export const documentTransferSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("whole"), name: documentName, version, value: z.unknown() }),
    z.strictObject({ kind: z.literal("delta"), name: documentName, version, baseVersion: version, delta }),
]);
