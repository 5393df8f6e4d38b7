import { writeFile } from "node:fs/promises";

/** Collects what a case saw, with the milliseconds since its start, and writes it to a file, one line an event. */
export function createRecord(path) {
    const startedAtMs = performance.now();
    const lines = [];
    return {
        add: fields => {
            const atMs = Math.round(performance.now() - startedAtMs);
            lines.push(JSON.stringify({ atMs, ...fields }));
        },
        write: () => writeFile(path, `${lines.join("\n")}\n`),
    };
}
