import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** A report as received by the platform. */
export interface ReportCall {
    atMs: number;
    holder: string;
    fencing: FencingNumber;
    window: number;
    counts: string;
    isAccepted: boolean;
    /** The sender had just been paused, which excuses the order of its calls. */
    isAfterPause: boolean;
}
