import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SamplerRecord } from "./SamplerRecord.js";

/** Maximum of records; the oldest are evicted first. Records of removed samplers are never used again. */
const maxRecords = 4_096;

/** Creates the store of sampler records, keyed by incarnation. */
export function createSamplerRecords(): (incarnation: IncarnationId) => SamplerRecord {
    const records = new Map<IncarnationId, SamplerRecord>();
    return incarnation => {
        const present = records.get(incarnation);
        if (present !== undefined) {
            return present;
        }
        const fresh: SamplerRecord = { sentAtMs: new Set(), latencyMs: undefined, failedAtMs: -Infinity };
        records.set(incarnation, fresh);
        if (records.size > maxRecords) {
            records.delete(records.keys().next().value!);
        }
        return fresh;
    };
}
