import { type CommandDef, defineCommand } from "citty";
import type { CliIo } from "./CliIo.js";
import { createApplyCommand } from "./createApplyCommand.js";
import { createDrainCommand } from "./createDrainCommand.js";
import { createExplainCommand } from "./createExplainCommand.js";
import { createJobsCommand } from "./createJobsCommand.js";
import { createLoadsCommand } from "./createLoadsCommand.js";
import { createQuarantineCommand } from "./createQuarantineCommand.js";
import { createSamplersCommand } from "./createSamplersCommand.js";
import { createStatusCommand } from "./createStatusCommand.js";
import { createStepsCommand } from "./createStepsCommand.js";
import { createUsageCommand } from "./createUsageCommand.js";
import { createValidateCommand } from "./createValidateCommand.js";

/** Creates the main command with all subcommands. */
export function createMainCommand(io: CliIo): CommandDef {
    return defineCommand({
        meta: { name: "auburnarch", description: "Operate a rollout service" },
        subCommands: {
            validate: createValidateCommand(io),
            apply: createApplyCommand(io),
            status: createStatusCommand(io),
            jobs: createJobsCommand(io),
            samplers: createSamplersCommand(io),
            usage: createUsageCommand(io),
            drain: createDrainCommand(io),
            quarantine: createQuarantineCommand(io),
            explain: createExplainCommand(io),
            steps: createStepsCommand(io),
            loads: createLoadsCommand(io),
        },
    }) as CommandDef;
}
