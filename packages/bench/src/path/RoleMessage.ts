/** A message from a child process to the benchmark. */
export type RoleMessage =
    | { kind: "listening"; address: string; }
    | { kind: "use"; cpuMs: number; atMs: number; residentBytes: number; };
