import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { Violations } from "./Violations.js";

/** Checks that the sidecar's own report allows the sample to run: its version is known and recent enough. */
export function checkReport(
    violations: Violations,
    node: string,
    attempt: SampleAttempt,
    report: SamplerReport | undefined,
): void {
    const version = report?.served.find(served => served.policy === attempt.policy)?.version;
    if (report?.state === "unknownVersion") {
        violations.add("ranInDoubt", node);
    }
    if (version !== undefined && version < attempt.minVersion) {
        violations.add("staleRun", `${node} serves ${version}, asked ${attempt.minVersion}`);
    }
}
