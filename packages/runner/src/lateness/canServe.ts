import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { versionOf } from "../weights/versionOf.js";

/** A step may use the version before the newest one, but no older one. */
const maxUsableLag = 1;

/** True if a sampler has weights of the policy that its newest step may use; `newest` is the newest loaded version. */
export const canServe = (sampler: RegisteredSampler, policy: PolicyId, newest: number): boolean =>
    sampler.served.some(each => each.policy === policy)
    && versionOf(sampler, policy) >= newest - maxUsableLag;
