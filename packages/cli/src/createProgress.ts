import type { CliIo } from "./CliIo.js";

/** Progress of something that takes long. */
interface Progress {
    /** Shows how far it is; says nothing if that has not changed. */
    show(text: string): void;
    finish(): void;
}

const clearLine = "\r\u001b[K";

/** Makes a progress display on the error stream: one line that changes on a terminal, else a line a change. */
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
