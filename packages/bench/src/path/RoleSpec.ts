import type { Settings } from "@auburnarch/config/Settings";

/** Specifies what a child process of the path benchmark runs. */
export type RoleSpec =
    | { role: "objectApi" | "vmList" | "weightStore" | "scoring" | "standIn" | "engineStandIn"; }
    /** A process of the system: entry or sidecar, depending on its settings. */
    | { role: "daemon"; settings: Settings; };
