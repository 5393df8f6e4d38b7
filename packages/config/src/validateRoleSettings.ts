import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import { deriveRoleDefaults } from "./deriveRoleDefaults.js";
import { listFaults } from "./listFaults.js";
import type { RoleSettings } from "./RoleSettings.js";
import { roleSettingsSchema } from "./roleSettingsSchema.js";

type Checked = { kind: "valid"; settings: RoleSettings; } | { kind: "invalid"; faults: ConfigFault[]; };

const neededByGateway = ["clientAddress", "readyAddress"] as const;

/** Validates the settings of a gateway or a runner, reports all faults and fills in the defaults. */
export function validateRoleSettings(json: unknown): Checked {
    const faults = listFaults(roleSettingsSchema, json);
    if (faults.length > 0) {
        return { kind: "invalid", faults };
    }
    const settings = deriveRoleDefaults(roleSettingsSchema.parse(json));
    const missing = settings.role === "gateway"
        ? neededByGateway.filter(key => settings[key] === undefined)
        : [];
    return missing.length > 0
        ? { kind: "invalid", faults: missing.map(path => ({ path, message: "A gateway needs it." })) }
        : { kind: "valid", settings };
}
