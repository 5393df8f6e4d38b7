import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import { z } from "zod";

const name = z.string().max(512);
const whole = z.number().int().nonnegative();

/** A sidecar's report as it arrives; later releases may add keys, which are dropped. */
export const samplerReportSchema = z.object({
    sampler: name,
    vm: name,
    incarnation: name,
    sequence: whole,
    address: name,
    failureDomain: name,
    region: name,
    service: name,
    state: z.enum(["ready", "swapping", "unknownVersion", "leaving", "engineDown"]),
    served: z.array(z.object({ policy: name, version: whole })),
    running: whole,
    waiting: whole,
    limit: z.number(),
    tokensPerSecond: z.number(),
    maxBatch: z.number(),
    configVersion: whole,
    suspects: z.array(z.object({
        digest: name,
        deaths: z.array(z.object({ vm: name, bootId: name })),
    })),
}) as unknown as z.ZodType<SamplerReport>;
