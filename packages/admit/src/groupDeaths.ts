import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { ToldDeath } from "./ToldDeath.js";

/** The deaths of a sampler's report with the contents that each is told of. */
export function groupDeaths(suspects: SamplerReport["suspects"]): ToldDeath[] {
    const deaths = new Map<string, ToldDeath>();
    for (const { digest, deaths: told } of suspects) {
        for (const { vm, bootId, contents } of told) {
            const name = `${vm} ${bootId}`;
            const death = deaths.get(name) ?? { vm, bootId, contents, digests: [] };
            death.digests.push(digest);
            deaths.set(name, death);
        }
    }
    return [...deaths.values()];
}
