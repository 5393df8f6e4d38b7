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

/** A sidecar's report on itself and its backend server, sent in heartbeats and with answers. */
export interface SamplerReport {
    sampler: SamplerId;
    vm: VmId;
    incarnation: IncarnationId;
    /** Increases with each report of the incarnation; an older report is dropped. */
    sequence: number;
    address: string;
    failureDomain: FailureDomain;
    region: Region;
    service: ServiceId;
    state: "ready" | "swapping" | "unknownVersion" | "leaving" | "engineDown";
    served: { policy: PolicyId; version: WeightVersion; }[];
    /**
     * True if the engine states the version of each chunk. Otherwise the version of a span is proven only once its
     * attempt has ended, so the spans of an attempt with an outcome other than `ran` must be discarded.
     */
    stampsVersions?: boolean;
    running: number;
    waiting: number;
    /** The sidecar's adaptive concurrency limit. */
    limit: number;
    tokensPerSecond: number;
    maxBatch: number;
    configVersion: ConfigVersion;
    /** Content digests that were in flight when the engine crashed and are not cleared yet. */
    suspects: { digest: ContentDigest; deaths: { vm: VmId; bootId: string; contents?: number; }[]; }[];
}
