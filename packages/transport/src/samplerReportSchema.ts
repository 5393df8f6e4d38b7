import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import { z } from "zod";

const maxListed = 256;
const name = z.string().min(1).max(512);
const nonNegativeInteger = z.number().int().nonnegative();
const nonNegativeNumber = z.number().nonnegative();

/** Sampler report as received from a sidecar; unknown keys are dropped, because later releases may add some. */
export const samplerReportSchema = z.object({
    sampler: name,
    vm: name,
    incarnation: name,
    sequence: nonNegativeInteger,
    address: name,
    failureDomain: name,
    region: name,
    service: name,
    state: z.enum(["ready", "swapping", "unknownVersion", "leaving", "engineDown"]),
    served: z.array(z.object({ policy: name, version: nonNegativeInteger })).max(maxListed),
    stampsVersions: z.boolean().optional(),
    running: nonNegativeInteger,
    waiting: nonNegativeInteger,
    limit: nonNegativeNumber,
    tokensPerSecond: nonNegativeNumber,
    maxBatch: nonNegativeNumber,
    configVersion: nonNegativeInteger,
    suspects: z.array(z.object({
        digest: name,
        deaths: z.array(z.object({ vm: name, bootId: name, contents: nonNegativeInteger.optional() })).max(
            maxListed,
        ),
    })).max(maxListed),
}) as unknown as z.ZodType<SamplerReport>;
