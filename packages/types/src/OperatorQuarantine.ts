import type { QuarantineRecord } from "./QuarantineRecord.js";

/** Answer of `GET /operator/quarantine` and of `POST /operator/quarantine/lift`. */
export interface OperatorQuarantine {
    records: QuarantineRecord[];
}
