import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { z } from "zod";
import { formatPath } from "./formatPath.js";
import { keysAt } from "./keysAt.js";
import { suggestName } from "./suggestName.js";

function valueAt(json: unknown, path: readonly PropertyKey[]): unknown {
    let at = json;
    for (const part of path) {
        at = at instanceof Object ? (at as Record<PropertyKey, unknown>)[part] : undefined;
    }
    return at;
}

function toFaults(schema: z.ZodType, json: unknown, issue: z.core.$ZodIssue): ConfigFault[] {
    if (issue.code === "unrecognized_keys") {
        const valid = keysAt(schema, issue.path);
        return issue.keys.map(key => ({
            path: formatPath([...issue.path, key]),
            message: `Unknown key.${suggestName(key, valid)}`,
        }));
    }
    const path = formatPath(issue.path);
    if (issue.code === "invalid_type" && valueAt(json, issue.path) === undefined) {
        return [{ path, message: `Missing; expected ${issue.expected}.` }];
    }
    if (issue.code === "invalid_value") {
        const given = valueAt(json, issue.path);
        const valid = issue.values.map(String);
        const hint = typeof given === "string" ? suggestName(given, valid) : "";
        return [{ path, message: `Expected one of ${valid.join(", ")}.${hint}` }];
    }
    return [{ path, message: issue.message }];
}

/** Validates `json` and returns all faults in the order of the schema; for unknown keys it suggests the nearest one. */
export function listFaults(schema: z.ZodType, json: unknown): ConfigFault[] {
    const result = schema.safeParse(json);
    return result.success ? [] : result.error.issues.flatMap(issue => toFaults(schema, json, issue));
}
