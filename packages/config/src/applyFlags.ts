import { z } from "zod";
import { settingsSchema } from "./settingsSchema.js";

function unwrap(schema: unknown): unknown {
    let inner = schema;
    while (inner instanceof z.ZodOptional || inner instanceof z.ZodDefault) {
        inner = inner.unwrap();
    }
    return inner;
}

function parseText(schema: unknown, text: string): unknown {
    const inner = unwrap(schema);
    if (inner instanceof z.ZodArray) {
        return text.split(",").filter(part => part !== "");
    }
    if (inner instanceof z.ZodNumber) {
        // `Number("")` is 0, so an empty text is passed on for the schema to reject.
        return text.trim() === "" ? text : Number(text);
    }
    return text;
}

/**
 * Overrides settings from the file with command-line flags. A flag is the name of a setting in camelCase or kebab-case;
 * list items are separated by commas, and `tls.certPath` sets a key inside `tls`.
 */
export function applyFlags(json: unknown, flags: Record<string, string>): unknown {
    if (Object.keys(flags).length === 0) {
        return json;
    }
    const merged: Record<string, unknown> = json instanceof Object ? { ...json } : {};
    const shape: Record<string, unknown> = settingsSchema.shape;
    for (const [flag, text] of Object.entries(flags)) {
        const key = flag.replace(/-([a-z])/gu, (_, letter: string) => letter.toUpperCase());
        const [outer, inner] = key.split(".", 2) as [string, string | undefined];
        const present = merged[outer];
        merged[outer] = inner === undefined
            ? parseText(shape[outer], text)
            : { ...(present instanceof Object ? present : {}), [inner]: text };
    }
    return merged;
}
