import { documentTransferSchema } from "@auburnarch/documents/documentTransferSchema";
import { z } from "zod";

const maxRows = 256;

/** Schema of a `ReportAnswer` received from an entry. */
export const reportAnswerSchema = z.strictObject({
    documents: z.array(documentTransferSchema).max(maxRows),
    wanted: z.array(z.string().max(128)).max(maxRows).optional(),
    nextReportMs: z.number().min(0),
    entries: z.array(z.strictObject({
        address: z.string().min(1).max(256),
        failureDomain: z.string().min(1).max(64),
    })).max(maxRows),
    leaving: z.boolean(),
});
