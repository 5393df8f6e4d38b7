/** One program of the system under test, across all starts of its process. */
export interface Program {
    name: string;
    role: "gateway" | "runner";
    clientPort: number;
    readyPort: number;
    /** Number of starts so far. */
    incarnation(): number;
    isUp(): boolean;
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
