import type { EventEmitter } from "node:events";

/** Lets the process run on without its output once its terminal has closed and each write fails. */
export function ignoreClosedTerminal(output: EventEmitter): void {
    output.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code !== "EIO") {
            throw error;
        }
    });
}
