import { z } from "zod";

const name = z.string().min(1).max(64);
const count = z.number().min(0);
const version = z.int().min(0);
const digestText = z.string().min(1).max(128);

const suspect = z.strictObject({
    digest: digestText,
    deaths: z.array(z.strictObject({ vm: name, bootId: z.string().max(128) })).max(64),
});

/** Shape of a `SamplerReport` as it comes from another process. */
const report = z.strictObject({
    sampler: name,
    vm: name,
    incarnation: z.string().min(1).max(128),
    sequence: version,
    address: z.string().min(1).max(256),
    failureDomain: name,
    region: name,
    service: name,
    state: z.enum(["ready", "swapping", "unknownVersion", "leaving", "engineDown"]),
    served: z.array(z.strictObject({ policy: name, version })).max(256),
    running: count,
    waiting: count,
    limit: count,
    tokensPerSecond: count,
    maxBatch: count,
    configVersion: version,
    suspects: z.array(suspect).max(256),
});

/** Shape of a `ReportMessage` as it comes from a sidecar. */
export const reportMessageSchema = z.strictObject({
    report,
    digest: z.record(z.string().max(128), version),
    knownEntries: version,
});
