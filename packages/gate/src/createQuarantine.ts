import { countDeadVms } from "@auburnarch/admit/countDeadVms";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Quarantine } from "./Quarantine.js";

interface QuarantineDeps {
    /** Wall time: records expire and are lifted by it. */
    wallMs: () => number;
    /** Whether a list of the offered version may replace the present one. */
    isForward: (present: number, offered: number) => boolean;
}

/** Makes an empty list of version 0. */
export function createQuarantine(deps: QuarantineDeps): Quarantine {
    let version = 0;
    let records = new Map<ContentDigest, QuarantineRecord>();
    return {
        offer: (offered, list) => {
            if (!deps.isForward(version, offered)) {
                return false;
            }
            version = offered;
            records = new Map(list.map(record => [record.digest, record]));
            return true;
        },
        deadVms: digest => {
            const record = records.get(digest);
            return record === undefined ? 0 : countDeadVms(record, [...records.values()], deps.wallMs());
        },
        version: () => version,
    };
}
