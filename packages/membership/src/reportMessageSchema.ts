import { documentTransferSchema } from "@auburnarch/documents/documentTransferSchema";
import { samplerReportSchema } from "@auburnarch/transport/samplerReportSchema";
import { z } from "zod";

const version = z.int().min(0);
/** A sidecar follows two. */
const maxDocuments = 8;

/** Shape of a `ReportMessage` as it comes from a sidecar, which may be of a later release. */
export const reportMessageSchema = z.object({
    report: samplerReportSchema,
    digest: z.record(z.string().max(128), version),
    knownEntries: version,
    documents: z.array(documentTransferSchema).max(maxDocuments).optional(),
});
