import type { CommandDef } from "citty";
import type { CliIo } from "./CliIo.js";
import { createLogsCommand } from "./createLogsCommand.js";
import type { LoadRow } from "./LoadRow.js";
import { summarizeLoads } from "./summarizeLoads.js";

const headings = ["POLICY", "LOADS", "FAILED", "SAMPLERS", "CHANGED", "MEAN MS", "TOTAL MS"];

const toCells = (row: LoadRow): (string | number)[] => [
    row.policy,
    row.loads,
    row.failed,
    row.samplers,
    row.changed,
    row.meanMs ?? "-",
    row.totalMs,
];

/** `loads`: summarizes the cost of weight loads from log files. */
export function createLoadsCommand(io: CliIo): CommandDef {
    return createLogsCommand(io, {
        name: "loads",
        description: "Show from logs what the loads of weights cost, by policy",
        writers: "runners",
        headings,
        summarize: summarizeLoads,
        toCells,
        missing: { subject: "a load that ended", lines: "all runners (loadDone, loadFailed)" },
    });
}
