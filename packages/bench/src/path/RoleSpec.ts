import type { Settings } from "@auburnarch/config/Settings";

/** What a child process of the path bench is to be. */
export type RoleSpec =
    | { role: "objectApi" | "vmList" | "weightStore" | "scoring" | "standIn" | "engineStandIn"; }
    /** A process of the system, entry or sidecar as its settings say. */
    | { role: "daemon"; settings: Settings; };
