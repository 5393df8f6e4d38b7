import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { FileOperations } from "./FileOperations.js";

/** How a data folder keeps groups. */
export interface FileGroupStoreOptions {
    clock: Clock;
    logger: Logger;
    files?: FileOperations;
    /** Bytes of all files together; a group that would exceed it is not kept. */
    maxBytes?: number;
    /** Files not changed for so long belong to steps that no owner will finish; they are removed at the start. */
    maxAgeMs?: number;
}
