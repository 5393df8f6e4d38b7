/** What a role's process tells the bench. */
export type RoleMessage =
    | { kind: "listening"; address: string; }
    | { kind: "use"; cpuMs: number; atMs: number; residentBytes: number; };
