import type { ArgsDef } from "citty";

/** Flags of every command that calls an entry. */
export const commonArgs = {
    "entry": {
        type: "string",
        description: "URL of any entry; else AUBURNARCH_ENTRY, else http://127.0.0.1:7400.",
        valueHint: "url",
    },
    "token-file": {
        type: "string",
        description: "File with the operator token; else AUBURNARCH_OPERATOR_TOKEN.",
        valueHint: "file",
    },
    "json": { type: "boolean", description: "Print JSON." },
} as const satisfies ArgsDef;
