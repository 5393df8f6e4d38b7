import type { Exchange } from "./Exchange.js";
import type { NetworkFault } from "./NetworkFault.js";

/** The simulated network between the processes of one run. */
export interface Network {
    /** Sends a request to `to` and returns its answer. A rejection of `deliver` counts as the receiver's answer. */
    exchange<T>(from: string, to: string, deliver: () => Promise<T>): Promise<Exchange<T>>;
    /** Registers a process; `whenDown` resolves when it ends, `isUp` returns whether it accepts connections. */
    register(name: string, process: { isUp(): boolean; whenDown(): Promise<void>; }): void;
    /** Partitions two processes in both directions until `heal` is called. */
    cut(a: string, b: string): void;
    heal(a: string, b: string): void;
    healAll(): void;
    isCut(a: string, b: string): boolean;
    /** Injects a fault into the next exchange to `to` (from `from`, if given) and calls `onInjected`. */
    failNext(fault: NetworkFault, to: string, from?: string, onInjected?: () => void): void;
    /** Delays each message at random by up to `maxDelayMs`, so that messages arrive out of order. */
    setReordering(maxDelayMs: number): void;
}
