import { countCrashedVms } from "@auburnarch/admission/countCrashedVms";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { QuarantineList } from "./QuarantineList.js";

interface QuarantineListDeps {
    /** Wall time, by which records expire and are lifted. */
    wallMs: () => number;
    /** Whether a list of the offered version may replace the current one. */
    isForward: (present: number, offered: number) => boolean;
}

/** Creates an empty list of version 0. */
export function createQuarantineList(deps: QuarantineListDeps): QuarantineList {
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
        crashedVmCount: digest => {
            const record = records.get(digest);
            return record === undefined ? 0 : countCrashedVms(record, [...records.values()], deps.wallMs());
        },
        version: () => version,
    };
}
