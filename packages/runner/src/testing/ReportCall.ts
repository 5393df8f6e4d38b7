import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** A report as the platform got it. */
export interface ReportCall {
    atMs: number;
    holder: string;
    fencing: FencingNumber;
    window: number;
    counts: string;
    isAccepted: boolean;
    /** Its sender had just been stopped, which excuses the order of its calls. */
    isAfterPause: boolean;
}
