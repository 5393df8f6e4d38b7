/** Results of the demo, as counted by its trainers and callers. */
export interface DemoSummary {
    steps: number;
    delivered: number;
    missing: number;
    duplicates: number;
    staleViolations: number;
    stalenessMaxVersions: number;
    trainerIdleRatio: number;
    /** Version of the changed manifest that became active on every process. */
    configVersion: number;
    alerts: number;
    alertsRunTwice: number;
}
