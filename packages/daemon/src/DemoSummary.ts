/** What the demo's trainers and callers received, by their own count. */
export interface DemoSummary {
    steps: number;
    delivered: number;
    missing: number;
    duplicates: number;
    staleViolations: number;
    stalenessMaxVersions: number;
    trainerIdleRatio: number;
    /** Version of the changed manifest once every process had it in force. */
    configVersion: number;
    alerts: number;
    alertsRunTwice: number;
}
