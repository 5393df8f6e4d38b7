import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { z } from "zod";
import { maxReportedMs } from "./maxReportedMs.js";

const name = z.string().min(1).max(256);
const duration = z.number().min(0).max(maxReportedMs);
const count = z.int().min(0).max(1_000_000);
const maxCriticalSamplers = 64;

/** Wire format of `StepStatus`. */
export const stepStatusSchema = z.object({
    policy: name.transform(value => value as PolicyId),
    lot: name.transform(value => value as BatchJobId),
    latenessMs: duration,
    slackMs: z.number().min(-maxReportedMs).max(maxReportedMs),
    waitingItems: count,
    runningItems: count,
    criticalSamplers: z.array(name.transform(value => value as IncarnationId)).max(maxCriticalSamplers),
});
