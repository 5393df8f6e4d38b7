import type { Clock } from "@auburnarch/types/Clock";

/** A simulated process on a shared fake clock; it can be killed or paused at any moment. */
export interface TestProcess {
    /** The process's clock: timers are deferred while the process is paused and never fire once it is killed. */
    clock: Clock;
    /**
     * Wraps a port for use by this process. Calls and answers wait while the process is paused and never settle
     * once it is killed. `beforeCall` and `afterCall` may kill or pause it at exactly that point.
     */
    connect<Port extends object>(port: Port, hooks?: CallHooks): Port;
    /** Runs `call` inside the process: the answer is returned only while the process is running. */
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
