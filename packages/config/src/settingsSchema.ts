import { z } from "zod";
import { nameSchema } from "./nameSchema.js";

const minKeyChars = 32;

interface SettingMetadata {
    unit: string;
    range: string;
    meaning: string;
}

/** Attaches the metadata that docs/settings.md shows for a setting. */
function withMetadata<Schema extends z.ZodType>(schema: Schema, meta: SettingMetadata): Schema {
    return schema.meta({ ...meta }) as Schema;
}

function wholeNumber(min: number, max: number, unit: string, meaning: string) {
    return withMetadata(z.int().min(min).max(max), { unit, range: `${min} to ${max}`, meaning });
}

function name(meaning: string) {
    return withMetadata(nameSchema, { unit: "name", range: "64 letters, digits, `.`, `-`, `_`", meaning });
}

function url(meaning: string) {
    const schema = z.string().regex(/^https?:\/\/[^\s]+$/u, "Expected a URL such as `http://10.0.0.1:7000`.");
    return withMetadata(schema, { unit: "URL", range: "`http` or `https`", meaning });
}

function filePath(meaning: string) {
    return withMetadata(z.string().min(1), { unit: "path", range: "any", meaning });
}

function secret(meaning: string) {
    const schema = z.string().min(minKeyChars, `Expected at least ${minKeyChars} characters.`);
    return withMetadata(schema, { unit: "secret", range: `${minKeyChars} characters or more`, meaning });
}

const tls = z.strictObject({
    certPath: z.string().min(1),
    keyPath: z.string().min(1),
    caPath: z.string().min(1),
});

/** Schema of the settings of an entry or a sidecar, with the unit, range, default and meaning of each. */
export const settingsSchema = z.strictObject({
    name: name("Name of the process; unique over the fleet."),
    role: withMetadata(z.enum(["entry", "sidecar"]), {
        unit: "word",
        range: "`entry`, `sidecar`",
        meaning: "What the process does.",
    }),
    vm: name("VM it runs on, as the VM list names it."),
    failureDomain: name("Failure domain of the VM."),
    region: name("Region of the VM."),
    listenHost: withMetadata(z.string().min(1).default("0.0.0.0"), {
        unit: "IP address",
        range: "any",
        meaning: "Address it listens on.",
    }),
    listenPort: wholeNumber(0, 65_535, "port", "Port it listens on; 0 lets the system choose.").default(
        7_400,
    ),
    publicAddress: url("Where other processes reach it; left out, `listenHost` and the port in use.")
        .optional(),
    objectApiUrl: url("The platform's object API."),
    vmListUrl: url("The platform's list of VMs."),
    weightStoreUrl: url("The weight store; sidecars of engines need it.").optional(),
    scoringUrl: url("The scoring services; entries need it.").optional(),
    manifestPath: filePath("Manifest file that an entry publishes whenever it changes.").optional(),
    dataFolder: filePath("Folder for bulk data; left out, nothing is kept on disk.").optional(),
    cursorKey: secret("Signs trainers' cursors; the same on all entries.").optional(),
    clusterToken: secret("Proves the system's processes to each other; the same on all."),
    previousClusterToken: secret(
        "Accepted beside `clusterToken` and never sent: while a new one is rolled out, first the next, then the previous.",
    ).optional(),
    operatorToken: secret("Proves operators to an entry; left out, the operators' interface is closed.")
        .optional(),
    seeds: withMetadata(z.array(z.string().regex(/^https?:\/\/[^\s]+$/u)).default([]), {
        unit: "URLs",
        range: "any number",
        meaning: "Entries to ask first, beside those of the VM list.",
    }),
    sampler: name("Sampler that a sidecar stands before.").optional(),
    service: name("Service of that sampler.").optional(),
    engineUrl: url("Model engine behind a sidecar.").optional(),
    backendUrl: url("Plain service behind a sidecar.").optional(),
    tls: withMetadata(tls.optional(), {
        unit: "paths",
        range: "`certPath`, `keyPath`, `caPath`",
        meaning:
            "Certificate, key and authority for mutual TLS between processes; read again when they change.",
    }),
    logLevel: withMetadata(z.enum(["info", "warn", "error"]).default("info"), {
        unit: "word",
        range: "`info`, `warn`, `error`",
        meaning: "Least level that is logged.",
    }),
    shutdownDeadlineMs: wholeNumber(
        0,
        3_600_000,
        "ms",
        "Longest wait for requests in flight at a graceful shutdown.",
    ).default(600_000),
    leaseTtlMs: wholeNumber(1_000, 600_000, "ms", "Length of a lease on a job or key range.").default(10_000),
    vmListIntervalMs: wholeNumber(500, 600_000, "ms", "Time between two reads of the VM list.").default(
        5_000,
    ),
});
