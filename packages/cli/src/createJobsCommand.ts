import type { OperatorJob } from "@auburnarch/types/OperatorJob";
import type { OperatorJobs } from "@auburnarch/types/OperatorJobs";
import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import type { CommandOutput } from "./CommandOutput.js";
import { commonArgs } from "./commonArgs.js";
import { connect } from "./connect.js";
import { exitCodes } from "./exitCodes.js";
import { formatTable } from "./formatTable.js";

const headings = ["JOB", "TEAM", "POLICY", "OWNER", "FENCING", "STEP", "GROUPS", "WEIGHTS", "NEEDED IN S"];
const absent = "-";

const toRow = (job: OperatorJob): (string | number)[] => [
    job.job,
    job.team,
    job.policy,
    job.owner ?? absent,
    job.fencing ?? absent,
    job.step ?? absent,
    `${job.groupsDelivered}/${job.groups}`,
    job.publishedVersion ?? absent,
    job.needInMs === undefined ? absent : Math.round(job.needInMs / 1_000),
];

/** `jobs`: shows the owner and progress of each job. */
export function createJobsCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "jobs", description: "Show owner, open step and progress of each job" },
        args: commonArgs,
        run: async ({ args }): Promise<CommandOutput> => {
            const client = await connect(io, args);
            const answer = await client.get("/operator/jobs") as OperatorJobs;
            return {
                exitCode: exitCodes.done,
                json: answer,
                lines: formatTable(headings, answer.jobs.map(toRow)),
            };
        },
    }) as CommandDef;
}
