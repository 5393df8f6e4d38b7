import type { RegisteredSampler } from "../RegisteredSampler.js";
import type { SamplerDirectory } from "../SamplerDirectory.js";

/** Creates a directory that returns these samplers for every service. */
export function createTestDirectory(samplers: RegisteredSampler[]): SamplerDirectory {
    const find: SamplerDirectory["find"] = incarnation =>
        samplers.find(sampler => sampler.incarnation === incarnation);
    return {
        isKnown: () => true,
        serving: () => samplers,
        find,
        isListed: incarnation => find(incarnation) !== undefined,
        ageMs: () => 0,
    };
}
