import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Settings } from "./Settings.js";

/** Result of validating settings: the settings with defaults filled in, or all faults that were found. */
export type SettingsResult =
    | { kind: "valid"; settings: Settings; }
    | { kind: "invalid"; faults: ConfigFault[]; };
