import { z } from "zod";
import { settingsSchema } from "./settingsSchema.js";

function describeDefault(schema: z.ZodType): string {
    if (schema instanceof z.ZodDefault) {
        return `\`${JSON.stringify(schema.def.defaultValue)}\``;
    }
    return schema instanceof z.ZodOptional ? "none" : "required";
}

function metaOf(schema: z.ZodType): Record<string, unknown> {
    const own = schema.meta();
    if (own?.["meaning"] !== undefined) {
        return own;
    }
    if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
        return metaOf(schema.unwrap() as z.ZodType);
    }
    throw new Error("a setting of the schema has no description");
}

/** Renders the Markdown table of all settings that docs/settings.md contains. */
export function renderSettingsTable(): string {
    const rows = Object.entries(settingsSchema.shape).map(([key, schema]) => {
        const meta = metaOf(schema);
        return `| \`${key}\` | ${meta["unit"]} | ${meta["range"]} | ${describeDefault(schema)} | ${
            meta["meaning"]
        } |`;
    });
    return ["| Setting | Unit | Range | Default | Meaning |", "| --- | --- | --- | --- | --- |", ...rows]
        .join("\n");
}
