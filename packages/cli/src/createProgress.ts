import type { CliIo } from "./CliIo.js";

/** Progress display of a long operation. */
interface Progress {
    /** Shows the current progress; prints nothing if the text has not changed. */
    show(text: string): void;
    finish(): void;
}

const clearLine = "\r\u001b[K";

/** Creates a progress display on the error stream: one updated line on a terminal, otherwise one line per change. */
export function createProgress(io: CliIo): Progress {
    let last = "";
    return {
        show: text => {
            if (text === last) {
                return;
            }
            last = text;
            io.writeError(io.isTerminal ? `${clearLine}${text}` : `${text}\n`);
        },
        finish: () => {
            if (io.isTerminal && last !== "") {
                io.writeError("\n");
            }
        },
    };
}
