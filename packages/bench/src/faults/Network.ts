import type { Exchange } from "./Exchange.js";
import type { NetworkFault } from "./NetworkFault.js";

/** The network between the processes of one run. */
export interface Network {
    /** Takes a request to `to` and its answer back. `deliver` may reject: that is the receiver's answer. */
    exchange<T>(from: string, to: string, deliver: () => Promise<T>): Promise<Exchange<T>>;
    /** Registers a process; `whenDown` resolves when it dies, `isUp` tells whether it takes connections. */
    register(name: string, process: { isUp(): boolean; whenDown(): Promise<void>; }): void;
    /** Cuts the way between two processes, in both directions, until it is healed. */
    cut(a: string, b: string): void;
    heal(a: string, b: string): void;
    healAll(): void;
    isCut(a: string, b: string): boolean;
    /** Strikes the next exchange to `to` (from `from`, if given), then calls `onStruck`. */
    failNext(fault: NetworkFault, to: string, from?: string, onInjected?: () => void): void;
    /** Delays every message by up to so long, so that they overtake each other. */
    setReordering(maxDelayMs: number): void;
}
