import { countCrashedVms } from "@auburnarch/admission/countCrashedVms";
import { isConvicted } from "@auburnarch/admission/isConvicted";
import { openTrials } from "@auburnarch/admission/openTrials";
import type { OperatorQuarantine } from "@auburnarch/types/OperatorQuarantine";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";

/** The entry returns only records that have not expired by its own clock, so expiry is not checked again here. */
const anyTimeMs = 0;

function toRow(record: QuarantineRecord, records: readonly QuarantineRecord[]): (string | number)[] {
    return [
        record.digest,
        isConvicted(record, anyTimeMs, records) ? "refused" : "watched",
        countCrashedVms(record, records, anyTimeMs),
        openTrials(record).length,
        new Date(record.expiresAtMs).toISOString(),
    ];
}

function describe({ records }: OperatorQuarantine): string[] {
    return records.length === 0
        ? ["No content is under suspicion."]
        : formatTable(
            ["DIGEST", "STATE", "VMS KILLED", "TRIALS", "EXPIRES"],
            records.map(record => toRow(record, records)),
        );
}

function createListCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "list", description: "Show the contents that killed servers" },
        args: commonArgs,
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const answer = await client.get("/operator/quarantine") as OperatorQuarantine;
            return { exitCode: exitCodes.done, json: answer, lines: describe(answer) };
        },
    }) as CommandDef;
}

function createLiftCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "lift", description: "Let a refused content run again" },
        args: {
            digest: { type: "positional", required: true, description: "Digest as `list` shows it." },
            ...commonArgs,
        },
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const body = { digest: args.digest };
            const answer = await client.post("/operator/quarantine/lift", body) as OperatorQuarantine;
            const message = `Lifted ${args.digest}; it runs again once the lift has spread, within seconds.`;
            return { exitCode: exitCodes.done, json: answer, lines: [message] };
        },
    }) as CommandDef;
}

/** `quarantine list` and `quarantine lift DIGEST`: shows and lifts the quarantine of crash-inducing requests. */
export function createQuarantineCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "quarantine", description: "Show or lift the refusal of contents that killed servers" },
        subCommands: { list: createListCommand(io), lift: createLiftCommand(io) },
    }) as CommandDef;
}
