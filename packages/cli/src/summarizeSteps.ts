import type { StepRow } from "./StepRow.js";

type Fields = ReadonlyMap<string, string>;

interface Line {
    atMs: number;
    time: string;
    event: string;
    fields: Fields;
}

const fieldPattern = /(\w+)=("[^"]*"|\S+)/gu;
const mostPart = 0.9;

function readLine(text: string): Line | undefined {
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

const numberOf = (fields: Fields, name: string): number | undefined =>
    fields.has(name) ? Number(fields.get(name)) : undefined;

function toRow({ time, fields }: Line): StepRow {
    return {
        lot: fields.get("lot")!,
        policy: fields.get("policy") ?? "",
        step: numberOf(fields, "step") ?? 0,
        items: numberOf(fields, "items") ?? 0,
        neededGroups: numberOf(fields, "neededGroups"),
        acceptedAt: time,
        firstSentMs: undefined,
        halfMs: undefined,
        mostMs: undefined,
        allMs: undefined,
        endedMs: undefined,
        records: 0,
        sends: 0,
        refused: 0,
        moved: 0,
        retried: 0,
        runners: [],
    };
}

function noteRecorded(row: StepRow, fields: Fields, sinceMs: number): void {
    const recorded = numberOf(fields, "recorded") ?? 0;
    row.records++;
    row.halfMs ??= recorded >= row.items / 2 ? sinceMs : undefined;
    row.mostMs ??= recorded >= row.items * mostPart ? sinceMs : undefined;
    row.allMs ??= recorded >= row.items ? sinceMs : undefined;
}

const takers: Readonly<Record<string, (row: StepRow, fields: Fields, sinceMs: number) => void>> = {
    lotTaken: (row, fields) => void row.runners.push(fields.get("process") ?? ""),
    lotEnded: (row, _fields, sinceMs) => {
        row.endedMs ??= sinceMs;
    },
    resultsRecorded: noteRecorded,
    samplerPicked: (row, _fields, sinceMs) => {
        row.sends++;
        row.firstSentMs ??= sinceMs;
    },
    sampleRefused: row => void row.refused++,
    stragglerMoved: row => void row.moved++,
    sampleRetried: row => void row.retried++,
};

/** Lines of items name them `job/item`. */
const lotOf = (fields: Fields): string | undefined =>
    fields.get("lot") ?? fields.get("sample")?.split("/")[0];

/** Tells from the logs of gateways and runners how each batch job went, in order of policy and acceptance. */
export function summarizeSteps(logs: string[]): StepRow[] {
    const lines = logs.flatMap(log => log.split("\n")).flatMap(text => readLine(text) ?? []);
    lines.sort((a, b) => a.atMs - b.atMs);
    const rows = new Map<string, StepRow>();
    for (const line of lines) {
        const lot = lotOf(line.fields);
        const row = lot === undefined ? undefined : rows.get(lot);
        if (line.event === "lotAccepted" && lot !== undefined && row === undefined) {
            rows.set(lot, toRow(line));
        }
        else if (row !== undefined) {
            takers[line.event]?.(row, line.fields, line.atMs - Date.parse(row.acceptedAt));
        }
    }
    return [...rows.values()].sort((a, b) =>
        a.policy === b.policy ? a.step - b.step : a.policy < b.policy ? -1 : 1
    );
}
