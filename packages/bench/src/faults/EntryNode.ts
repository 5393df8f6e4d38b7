import type { Entry } from "@auburnarch/entry/Entry";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";

/** A VM with an entry process. */
export interface EntryNode {
    name: string;
    /** The present process; undefined while there is none. */
    running(): { entry: Entry; process: TestProcess; } | undefined;
    /** A call of another process, answered within this one. */
    receive(method: string, params: unknown): Promise<unknown>;
    /** Runs a call of a trainer or caller within the process. */
    enter<T>(call: (entry: Entry) => Promise<T>): Promise<T>;
    /** Number under which this process works as the owner of the job; undefined if it does not. */
    ownedFencing(): FencingNumber | undefined;
    kill(): void;
    start(): void;
    shutDown(deadlineMs: number): Promise<void>;
}
