import type { LogLine } from "./LogLine.js";

const fieldPattern = /(\w+)=("[^"]*"|\S+)/gu;

function readLine(text: string): LogLine | undefined {
    const start = text.indexOf("time=");
    if (start < 0) {
        return undefined;
    }
    const fields = new Map(
        [...text.slice(start).matchAll(fieldPattern)].map(found => [found[1]!, found[2]!]),
    );
    const time = fields.get("time")!;
    const event = fields.get("event");
    return event === undefined ? undefined : { atMs: Date.parse(time), time, event, fields };
}

/** Parses the lines of several logs and sorts them by time; lines in other formats are skipped. */
export function readLogLines(logs: string[]): LogLine[] {
    const lines = logs.flatMap(log => log.split("\n")).flatMap(text => readLine(text) ?? []);
    return lines.sort((a, b) => a.atMs - b.atMs);
}
