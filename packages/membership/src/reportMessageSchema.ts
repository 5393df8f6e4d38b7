import { documentTransferSchema } from "@auburnarch/documents/documentTransferSchema";
import { samplerReportSchema } from "@auburnarch/transport/samplerReportSchema";
import { z } from "zod";

const version = z.int().min(0);
/** A sidecar follows two documents. */
const maxDocuments = 8;

/** Schema of a `ReportMessage` received from a sidecar, which may run a later release. */
export const reportMessageSchema = z.object({
    report: samplerReportSchema,
    digest: z.record(z.string().max(128), version),
    knownEntries: version,
    documents: z.array(documentTransferSchema).max(maxDocuments).optional(),
});
