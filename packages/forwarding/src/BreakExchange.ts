import type { BreakMessage } from "./BreakMessage.js";

/**
 * Exchange of what processes know of contents, along with queries of one process to another and their answers. As long
 * as nothing is known, nothing is added to either.
 */
export interface BreakExchange {
    /** Field of a query to the named process. */
    createQuery(process: string): { contents?: BreakMessage; };
    /** Merges the field of its answer; undefined if it had none. */
    receiveAnswer(process: string, message: BreakMessage | undefined): void;
    /** Merges the field of a query; undefined if it had none. */
    receiveQuery(message: BreakMessage | undefined): void;
    /** Field of the answer to a query with this field. */
    createAnswer(query: BreakMessage | undefined): { contents?: BreakMessage; };
}
