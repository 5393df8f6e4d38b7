/** A log line that concerns the id asked for. */
interface FoundLine {
    /** ISO 8601; lines of several processes are put in order by it. */
    time: string;
    process: string;
    event: string;
    /** The line from its time on, without what a collector put before it. */
    text: string;
}

const timePattern = /time=(\S+)/u;
const processPattern = /process=(\S+)/u;
const valuePattern = /=("[^"]*"|\S+)/gu;
const eventPattern = /event=(\S+)/u;

/** True where the id stands as a whole: as a value, or as a part of one between `/`, `,` or `:`. */
function mentionsId(line: string, id: string): boolean {
    const values = [...line.matchAll(valuePattern)].map(found => found[1]!);
    return values.some(value => value === id || value.split(/["/,:\s]+/u).includes(id));
}

/**
 * Lines of logs that name an id, in order of time. Runs of an item are named `job/item`, so that asking for either
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
