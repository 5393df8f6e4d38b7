import type { ConfigVersion } from "./ConfigVersion.js";
import type { ContentDigest } from "./ContentDigest.js";
import type { FailureDomain } from "./FailureDomain.js";
import type { IncarnationId } from "./IncarnationId.js";
import type { PolicyId } from "./PolicyId.js";
import type { Region } from "./Region.js";
import type { SamplerId } from "./SamplerId.js";
import type { ServiceId } from "./ServiceId.js";
import type { VmId } from "./VmId.js";
import type { WeightVersion } from "./WeightVersion.js";

/** What a sidecar tells of itself and its backend server, in heartbeats and beside answers. */
export interface SamplerReport {
    sampler: SamplerId;
    vm: VmId;
    incarnation: IncarnationId;
    /** Grows with each report of the incarnation; an older one is dropped. */
    sequence: number;
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    service: ServiceId;
    state: "ready" | "swapping" | "unknownVersion" | "leaving" | "engineDown";
    served: { policy: PolicyId; version: WeightVersion; }[];
    /**
     * True where the engine states the version of each chunk. Elsewhere spans are proven only once their attempt has
     * ended, so those of an attempt with another outcome than `ran` are worth nothing.
     */
    stampsVersions?: boolean;
    running: number;
    waiting: number;
    /** The sidecar's adaptive concurrency limit. */
    limit: number;
    tokensPerSecond: number;
    maxBatch: number;
    configVersion: ConfigVersion;
    /** Digests that were in flight when the engine died, not yet cleared. */
    suspects: { digest: ContentDigest; deaths: { vm: VmId; bootId: string; contents?: number; }[]; }[];
}
