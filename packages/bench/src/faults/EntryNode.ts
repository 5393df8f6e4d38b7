import type { Entry } from "@auburnarch/entry/Entry";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** A VM with an entry process. */
export interface EntryNode {
    name: string;
    /** The current process; undefined while none runs. */
    running(): { entry: Entry; process: TestProcess; } | undefined;
    /** Handles a call from another process inside this one. */
    receive(method: string, params: unknown): Promise<unknown>;
    /** Runs a call of a trainer or caller inside the process. */
    enter<T>(call: (entry: Entry) => Promise<T>): Promise<T>;
    /** Fencing number under which this process owns the job; undefined if it is not the owner. */
    ownedFencing(): FencingNumber | undefined;
    kill(): void;
    start(): void;
    shutDown(deadlineMs: number): Promise<void>;
}
