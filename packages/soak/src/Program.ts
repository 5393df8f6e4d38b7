import type { SettingsChange } from "./SettingsChange.js";
import type { TimeSpan } from "./TimeSpan.js";

/** One program of the system under test, across all starts of its process. */
export interface Program {
    name: string;
    role: "gateway" | "runner";
    clientPort: number;
    readyPort: number;
    /** Number of starts so far. */
    incarnation(): number;
    isUp(): boolean;
    /** Whether the process has logged that it has started. */
    hasStarted(): boolean;
    /** Spans in which the process ran and was not paused. */
    runningSpans(): TimeSpan[];
    /** Every write of the settings file, oldest first. */
    settingsChanges(): SettingsChange[];
    /** Names the program's other link to the store in its settings file, which is replaced or written anew. */
    changeSettings(isReplaced: boolean): Promise<void>;
    /** Standard output and standard error of all starts, oldest line first. */
    lines(): string[];
    /** Descriptions of exits that were not requested by `end`. */
    unexpectedExits(): string[];
    start(): void;
    signal(name: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void;
    /** Ends the process and resolves once it has exited; `SIGTERM` allows it its grace period. */
    end(name: "SIGKILL" | "SIGTERM"): Promise<void>;
    /** Deletes the content of the data folder (`wiped`), or cuts off the end of each file in it (`torn`). */
    damageDisk(damage: "torn" | "wiped"): Promise<void>;
}
