import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** A report as received by the platform. */
export interface ReportCall {
    atMs: number;
    holder: string;
    fencing: FencingNumber;
    window: number;
    counts: string;
    isAccepted: boolean;
    /** The sender was paused at this call or shortly before, so it may arrive after calls of a later holder. */
    isAfterPause: boolean;
}
