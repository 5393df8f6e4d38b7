import type { LogLine } from "./LogLine.js";
import { readLogLines } from "./readLogLines.js";
import type { StepRow } from "./StepRow.js";

type Fields = LogLine["fields"];

const mostRatio = 0.9;

const numberOf = (fields: Fields, name: string): number | undefined =>
    fields.has(name) ? Number(fields.get(name)) : undefined;

function toRow({ time, fields }: LogLine): StepRow {
    return {
        lot: fields.get("lot")!,
        policy: fields.get("policy") ?? "",
        step: numberOf(fields, "step") ?? 0,
        items: numberOf(fields, "items") ?? 0,
        neededGroups: numberOf(fields, "neededGroups"),
        acceptedAt: time,
        lateMs: undefined,
        trainerLateMs: undefined,
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

function recordResults(row: StepRow, fields: Fields, sinceMs: number): void {
    const recorded = numberOf(fields, "recorded") ?? 0;
    row.records++;
    row.halfMs ??= recorded >= row.items / 2 ? sinceMs : undefined;
    row.mostMs ??= recorded >= row.items * mostRatio ? sinceMs : undefined;
    row.allMs ??= recorded >= row.items ? sinceMs : undefined;
}

const eventHandlers: Readonly<Record<string, (row: StepRow, fields: Fields, sinceMs: number) => void>> = {
    lotTaken: (row, fields) => void row.runners.push(fields.get("process") ?? ""),
    lotEnded: (row, _fields, sinceMs) => {
        row.endedMs ??= sinceMs;
    },
    trainerLate: (row, fields) => {
        row.trainerLateMs = numberOf(fields, "latenessMs");
    },
    resultsRecorded: recordResults,
    samplerPicked: (row, _fields, sinceMs) => {
        row.sends++;
        row.firstSentMs ??= sinceMs;
    },
    sampleRefused: row => void row.refused++,
    stragglerMoved: row => void row.moved++,
    sampleRetried: row => void row.retried++,
};

/**
 * Sets the delay of each step against the trainer's step interval. A trainer submits steps at a constant interval, or
 * later if it waits for a version, so the interval is the minimum over all steps of the mean time per step since the
 * first one.
 */
function setLateness(rows: StepRow[]): void {
    const [first, ...others] = rows;
    const sinceFirst = (row: StepRow): { steps: number; ms: number; } => ({
        steps: row.step - first!.step,
        ms: Date.parse(row.acceptedAt) - Date.parse(first!.acceptedAt),
    });
    const stepIntervalMs = Math.min(
        ...others.map(sinceFirst).filter(({ steps }) => steps > 0).map(({ steps, ms }) => ms / steps),
    );
    for (const row of others) {
        const { steps, ms } = sinceFirst(row);
        row.lateMs = Math.round(ms - (steps === 0 ? 0 : steps * stepIntervalMs));
    }
}

/** Log lines of items identify them as `job/item`. */
const batchJobIdOf = (fields: Fields): string | undefined =>
    fields.get("lot") ?? fields.get("sample")?.split("/")[0];

/** Summarizes each batch job from the logs of gateways and runners, sorted by policy and step. */
export function summarizeSteps(logs: string[]): StepRow[] {
    const rows = new Map<string, StepRow>();
    for (const line of readLogLines(logs)) {
        const batchJobId = batchJobIdOf(line.fields);
        const row = batchJobId === undefined ? undefined : rows.get(batchJobId);
        if (line.event === "lotAccepted" && batchJobId !== undefined && row === undefined) {
            rows.set(batchJobId, toRow(line));
        }
        else if (row !== undefined) {
            eventHandlers[line.event]?.(row, line.fields, line.atMs - Date.parse(row.acceptedAt));
        }
    }
    const sorted = [...rows.values()].sort((a, b) =>
        a.policy === b.policy ? a.step - b.step : a.policy < b.policy ? -1 : 1
    );
    for (const policy of new Set(sorted.map(row => row.policy))) {
        setLateness(sorted.filter(row => row.policy === policy));
    }
    return sorted;
}
