import { z } from "zod";

function unwrap(schema: unknown): unknown {
    let inner = schema;
    while (
        inner instanceof z.ZodOptional || inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault
    ) {
        inner = inner.unwrap();
    }
    return inner;
}

/** Returns the keys that `schema` allows in the object at `path`; empty if the schema has no object there. */
export function keysAt(schema: unknown, path: readonly PropertyKey[]): string[] {
    let at = unwrap(schema);
    for (const part of path) {
        if (at instanceof z.ZodArray) {
            at = unwrap(at.element);
        }
        else if (at instanceof z.ZodObject) {
            at = unwrap(at.shape[String(part)]);
        }
        else {
            return [];
        }
    }
    return at instanceof z.ZodObject ? Object.keys(at.shape) : [];
}
