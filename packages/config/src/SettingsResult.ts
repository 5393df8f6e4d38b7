import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Settings } from "./Settings.js";

/** Settings checked whole. */
export type SettingsResult =
    | { kind: "valid"; settings: Settings; }
    | { kind: "invalid"; faults: ConfigFault[]; };
