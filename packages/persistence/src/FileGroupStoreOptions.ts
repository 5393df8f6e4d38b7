import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { FileOperations } from "./FileOperations.js";

/** Options of a group store in a data folder. */
export interface FileGroupStoreOptions {
    clock: Clock;
    logger: Logger;
    files?: FileOperations;
    /** Maximum size of all files together; a group that would exceed it is not stored. */
    maxBytes?: number;
    /** Files unchanged for this long belong to steps that no owner will finish; they are removed at startup. */
    maxAgeMs?: number;
}
