import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

/** Dependencies that the composition root passes to a process. */
export interface ProcessContext {
    clock: Clock;
    random: Random;
    /** Writes a formatted log line. */
    writeLine: (line: string) => void;
}
