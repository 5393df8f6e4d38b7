import type { Clock } from "@auburnarch/types/Clock";

/** A process of its own on a shared fake clock, which can be killed or paused at any moment. */
export interface TestProcess {
    /** The process's clock: its timers stand still while it is paused and never fire once it is killed. */
    clock: Clock;
    /**
     * The port as this process sees it. Every call and every answer waits while the process is paused and hangs
     * for good once it is killed. `beforeCall` and `afterCall` may kill or pause it at exactly that point.
     */
    connect<Port extends object>(port: Port, hooks?: CallHooks): Port;
    /** Runs `call` inside the process: its answer leaves the process only while that runs. */
    enter<T>(call: () => Promise<T>): Promise<T>;
    kill(): void;
    pause(): void;
    resume(): void;
    isAlive(): boolean;
    isPaused(): boolean;
}

interface CallHooks {
    beforeCall?: (name: string) => void;
    afterCall?: (name: string) => void;
}
