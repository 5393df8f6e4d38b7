import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

/** What a process of the system gets from the composition root. */
export interface ProcessContext {
    clock: Clock;
    random: Random;
    /** Takes finished log lines. */
    writeLine: (line: string) => void;
}
