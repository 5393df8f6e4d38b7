import { applyFlags } from "./applyFlags.js";
import { checkRole } from "./checkRole.js";
import { listFaults } from "./listFaults.js";
import type { SettingsResult } from "./SettingsResult.js";
import { settingsSchema } from "./settingsSchema.js";

/** Overrides settings from the file with `flags`, validates the result and fills in the defaults. */
export function validateSettings(json: unknown, flags: Record<string, string> = {}): SettingsResult {
    const merged = applyFlags(json, flags);
    const faults = [...listFaults(settingsSchema, merged), ...checkRole(merged)];
    if (faults.length > 0) {
        return { kind: "invalid", faults };
    }
    return { kind: "valid", settings: settingsSchema.parse(merged) };
}
