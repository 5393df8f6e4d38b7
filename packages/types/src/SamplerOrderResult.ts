import type { ResultCode } from "./ResultCode.js";
import type { SamplerReport } from "./SamplerReport.js";

/** A sidecar's answer to an order, with its report from after the order. */
export type SamplerOrderResult =
    | { kind: "done"; report: SamplerReport; }
    | { kind: "refused"; code: ResultCode; report: SamplerReport; }
    | { kind: "unknown"; code: ResultCode; };
