import type { OperatorStatus } from "@auburnarch/types/OperatorStatus";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";

function describe(status: OperatorStatus): string[] {
    const behind = status.members.filter(member => member.configVersion < status.configVersion).length;
    const manifest = status.manifestName === undefined
        ? "no manifest yet; publish one with `auburnarch apply FILE`"
        : `manifest ${status.manifestName} version ${status.configVersion}`;
    const rows = status.members.map(member => [
        member.name,
        member.role,
        member.failureDomain,
        member.state,
        member.configVersion,
        Math.round(member.ageMs),
    ]);
    return [
        `${status.entry}: ${status.ready ? "ready" : "not ready"}, ${manifest}`,
        `object API ${status.storeReachable ? "reachable" : "not reachable; what is in force stays so"}`,
        behind === 0
            ? "in force on every process known here"
            : `not yet in force on ${behind} of ${status.members.length} processes known here`,
        "",
        ...formatTable(["NAME", "ROLE", "FAILURE DOMAIN", "STATE", "VERSION", "AGE MS"], rows),
    ];
}

/** `status`: shows the active configuration, the processes that have it, and the state of all known processes. */
export function createStatusCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "status", description: "Show the configuration in force, where, and the processes" },
        args: commonArgs,
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const status = await client.get("/operator/status") as OperatorStatus;
            return { exitCode: exitCodes.done, json: status, lines: describe(status) };
        },
    }) as CommandDef;
}
