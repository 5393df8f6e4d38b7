/** One process of the system under test, over its starts and ends. */
export interface Program {
    name: string;
    role: "gateway" | "runner";
    clientPort: number;
    readyPort: number;
    /** Rises with each start. */
    incarnation(): number;
    isUp(): boolean;
    /** Standard output of all starts, newest lines last. */
    lines(): string[];
    /** Exits that nobody asked for. */
    unexpectedExits(): string[];
    start(): void;
    signal(name: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void;
    /** Ends it and resolves once it is gone; `SIGTERM` gives it its grace period. */
    end(name: "SIGKILL" | "SIGTERM"): Promise<void>;
    /** What stands in its data folder is lost, or its newest file cut short. */
    damageDisk(damage: "torn" | "wiped"): Promise<void>;
}
