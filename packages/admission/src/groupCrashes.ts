import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { ReportedCrash } from "./ReportedCrash.js";

/** Groups the suspects of a sampler's report by crash, each with the digests reported for it. */
export function groupCrashes(suspects: SamplerReport["suspects"]): ReportedCrash[] {
    const crashes = new Map<string, ReportedCrash>();
    for (const { digest, deaths: reported } of suspects) {
        for (const { vm, bootId, contents } of reported) {
            const name = `${vm} ${bootId}`;
            const crash = crashes.get(name) ?? { vm, bootId, contents, digests: [] };
            crash.digests.push(digest);
            crashes.set(name, crash);
        }
    }
    return [...crashes.values()];
}
