import type { CommandDef } from "citty";
import type { CliIo } from "./CliIo.js";
import { createLogsCommand } from "./createLogsCommand.js";
import type { StepRow } from "./StepRow.js";
import { summarizeSteps } from "./summarizeSteps.js";

const headings = [
    "POLICY",
    "STEP",
    "LATE MS",
    "TRAINER LATE MS",
    "ITEMS",
    "FIRST MS",
    "HALF MS",
    "90% MS",
    "ALL MS",
    "ENDED MS",
    "RECORDS",
    "SENDS",
    "REFUSED",
    "MOVED",
    "RETRIED",
    "RUNNERS",
];

const toCells = (row: StepRow): (string | number)[] => [
    row.policy,
    row.step,
    row.lateMs ?? "-",
    row.trainerLateMs ?? "-",
    row.items,
    row.firstSentMs ?? "-",
    row.halfMs ?? "-",
    row.mostMs ?? "-",
    row.allMs ?? "-",
    row.endedMs ?? "-",
    row.records,
    row.sends,
    row.refused,
    row.moved,
    row.retried,
    row.runners.join(" "),
];

/** `steps`: summarizes each training step from log files. */
export function createStepsCommand(io: CliIo): CommandDef {
    return createLogsCommand(io, {
        name: "steps",
        description: "Show from logs how each step went, and what held it up",
        writers: "gateways and runners",
        headings,
        summarize: summarizeSteps,
        toCells,
        missing: { subject: "an accepted batch job", lines: "all gateways (lotAccepted) and runners" },
    });
}
