import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { ReportedCrash } from "./ReportedCrash.js";

/** The deaths of a sampler's report with the contents that each is told of. */
export function groupCrashes(suspects: SamplerReport["suspects"]): ReportedCrash[] {
    const crashes = new Map<string, ReportedCrash>();
    for (const { digest, deaths: reported } of suspects) {
        for (const { vm, bootId, contents } of reported) {
            const name = `${vm} ${bootId}`;
            const death = crashes.get(name) ?? { vm, bootId, contents, digests: [] };
            death.digests.push(digest);
            crashes.set(name, death);
        }
    }
    return [...crashes.values()];
}
