import { z } from "zod";

const port = z.int().min(1).max(65_535);
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/u, "Expected `ip:port`.");
const milliseconds = z.int().min(0);

/** Shape of the settings of a gateway or a runner; `docs/settings.md` says what each means. */
export const roleSettingsSchema = z.strictObject({
    name: z.string().min(1),
    role: z.enum(["gateway", "runner"]),
    failureDomain: z.string().min(1),
    region: z.string(),
    internalHost: z.string().min(1),
    /** First and last port of the range for the system's own use. */
    internalPorts: z.tuple([port, port]),
    /** Port at which metrics are served too; left out, only at the first internal port. */
    metricsPort: port.optional(),
    storeAddress: address,
    clientAddress: address.optional(),
    readyAddress: address.optional(),
    /** Folder for unfinished texts; left out, nothing is kept on disk. */
    dataFolder: z.string().min(1).optional(),
    orderHandOverMs: milliseconds,
    gracePeriodMs: milliseconds,
    lotRetentionMs: milliseconds.default(120_000),
    /** Where the use of teams is reported; left out, it is not counted. */
    usage: z.strictObject({
        address,
        windowS: z.number().positive(),
        /** A report is due this long after the end of its window. */
        dueS: z.number().nonnegative(),
    }).optional(),
    maxLoadingSamplers: z.int().min(1).optional(),
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
});
