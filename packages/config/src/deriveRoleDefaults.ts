import type { z } from "zod";
import type { RoleSettings } from "./RoleSettings.js";
import type { roleSettingsSchema } from "./roleSettingsSchema.js";

/**
 * A fleet that has to tolerate this many losses at once has enough runners to make store calls for each other, and
 * enough samplers that slots left to a late trainer do not delay the others.
 */
const lossesOfLargeFleets = 2;

/** Fills in the defaults that depend on other settings. The disk of a runner is the first copy of its texts. */
export function deriveRoleDefaults(settings: z.infer<typeof roleSettingsSchema>): RoleSettings {
    const isLargeFleet = settings.toleratedLosses >= lossesOfLargeFleets;
    return {
        ...settings,
        textCopies: settings.textCopies ?? Math.max(0, settings.toleratedLosses - 1),
        relaysStoreCalls: settings.relaysStoreCalls ?? isLargeFleet,
        prioritizesLateTrainers: settings.prioritizesLateTrainers ?? isLargeFleet,
    };
}
