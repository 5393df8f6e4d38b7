import { z } from "zod";

const port = z.int().min(1).max(65_535);
const address = z.string().regex(
    /^[^:\s]+:(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/u,
    "Expected `ip:port`.",
);
const milliseconds = z.int().min(0);

/** Schema of the settings of a gateway or a runner; `docs/settings.md` describes each. */
export const roleSettingsSchema = z.strictObject({
    name: z.string().min(1),
    role: z.enum(["gateway", "runner"]),
    failureDomain: z.string().min(1),
    region: z.string(),
    internalHost: z.string().min(1),
    /** First and last port of the range that is reserved for internal use. */
    internalPorts: z.tuple([port, port]),
    /** Additional port that serves metrics; if omitted, only the first internal port serves them. */
    metricsPort: port.optional(),
    storeAddress: address,
    clientAddress: address.optional(),
    readyAddress: address.optional(),
    /** Folder for unfinished texts; if omitted, nothing is stored on disk. */
    dataFolder: z.string().min(1).optional(),
    /** Number of VMs with disks whose simultaneous loss has to be tolerated. */
    toleratedLosses: z.int().min(0).default(0),
    /** Number of other runners that hold copies of unfinished texts; 0 disables copies. */
    textCopies: z.int().min(0).optional(),
    orderHandOverMs: milliseconds,
    gracePeriodMs: milliseconds,
    lotRetentionMs: milliseconds.default(120_000),
    /** Receiver of usage reports for teams; if omitted, usage is not counted. */
    usage: z.strictObject({
        address,
        windowS: z.number().positive(),
        /** Seconds after the end of a window until its report is due. */
        dueS: z.number().nonnegative(),
    }).optional(),
    /** Gateways: admission of plain requests under load; if omitted, every request is sent at once. */
    admission: z.strictObject({}).optional(),
    /** Memory that the process may use; if omitted, it is derived from the heap limit. */
    memoryMb: z.int().min(1).optional(),
    /** Descriptors that the process may use; if omitted, the limit that the process was started with. */
    maxOpenFiles: z.int().min(1).optional(),
    /** Gateways: maximum of bytes of request bodies held at once; if omitted, a fifth of the memory. */
    maxHeldBodyBytes: z.int().min(1).optional(),
    /** Gateways: maximum of open client connections; if omitted, it is derived from the two limits above. */
    maxClientConnections: z.int().min(1).optional(),
    maxLoadingSamplers: z.int().min(1).optional(),
    /** Whether store calls go through a runner while the process itself does not reach the store. */
    relaysStoreCalls: z.boolean().optional(),
    /** Runners: steps of trainers that are behind schedule get priority. */
    prioritizesLateTrainers: z.boolean().optional(),
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
});
