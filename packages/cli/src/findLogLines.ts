/** A log line that mentions the requested id. */
interface FoundLine {
    /** ISO 8601; lines of several processes are sorted by it. */
    time: string;
    process: string;
    event: string;
    /** The line without a prefix added by a log collector. */
    text: string;
}

const timePattern = /time=(\S+)/u;
const processPattern = /process=(\S+)/u;
const valuePattern = /=("[^"]*"|\S+)/gu;
const eventPattern = /event=(\S+)/u;

/** Whether the id is a whole value of the line, or a whole part of a value that is split at `/`, `,` or `:`. */
function mentionsId(line: string, id: string): boolean {
    const values = [...line.matchAll(valuePattern)].map(found => found[1]!);
    return values.some(value => value === id || value.split(/["/,:\s]+/u).includes(id));
}

/**
 * Returns the log lines that mention an id, sorted by time. Runs of an item are logged as `job/item`, so that either id
 * finds them.
 */
export function findLogLines(logs: string[], id: string): FoundLine[] {
    const found: FoundLine[] = [];
    for (const line of logs.flatMap(log => log.split("\n"))) {
        const time = timePattern.exec(line) ?? undefined;
        if (time !== undefined && mentionsId(line, id)) {
            found.push({
                time: time[1]!,
                process: processPattern.exec(line)?.[1] ?? "",
                event: eventPattern.exec(line)?.[1] ?? "",
                text: line.slice(time.index),
            });
        }
    }
    return found.sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0));
}
