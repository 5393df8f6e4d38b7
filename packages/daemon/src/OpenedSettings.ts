import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { SettingsFile } from "./SettingsFile.js";

/** The settings file as opened, or its faults; a fault of the whole file has an empty path. */
export type OpenedSettings =
    | { kind: "opened"; file: SettingsFile; }
    | { kind: "invalid"; faults: ConfigFault[]; };
