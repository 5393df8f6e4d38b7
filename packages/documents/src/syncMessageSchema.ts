import { z } from "zod";
import { documentTransferSchema } from "./documentTransferSchema.js";

const maxDocuments = 4_096;
const digest = z.record(z.string().min(1).max(128), z.int().min(0)).refine(
    names => Object.keys(names).length <= maxDocuments,
    `Expected at most ${maxDocuments} documents.`,
);

/** Schema of a `SyncMessage` received from another process. */
export const syncMessageSchema = z.strictObject({
    checksum: z.string().max(64),
    digest: digest.optional(),
    documents: z.array(documentTransferSchema).max(maxDocuments),
    wanted: digest.optional(),
});
