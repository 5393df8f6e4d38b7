import { samplerReportSchema } from "@auburnarch/send/samplerReportSchema";
import { documentTransferSchema } from "@auburnarch/spread/documentTransferSchema";
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
