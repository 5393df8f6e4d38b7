import { defineCommand } from "citty";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { capacityTarget } from "./capacityTarget.js";
import { projectCapacity } from "./projectCapacity.js";
import { renderCapacity } from "./renderCapacity.js";
import { renderPlots } from "./renderPlots.js";
import { renderSeries } from "./renderSeries.js";
import { runSlopes } from "./runSlopes.js";

const jsonIndent = 4;

/** `bench slopes`: measures the cost of control as the fleet grows and projects it to the target size. */
export const slopesCommand = defineCommand({
    meta: { name: "slopes", description: "Cost of membership, spreading and leases as the fleet doubles" },
    args: {
        json: { type: "string", description: "File for the figures as JSON" },
        plots: { type: "string", description: "Folder for plots as SVG" },
        seed: { type: "string", default: "1", description: "Seed of the simulated network" },
    },
    run: async ({ args }) => {
        const figures = await runSlopes(Number(args.seed), label => process.stderr.write(`${label}\n`));
        if (args.json !== undefined) {
            await writeFile(args.json, `${JSON.stringify(figures, undefined, jsonIndent)}\n`);
        }
        if (args.plots !== undefined) {
            await mkdir(args.plots, { recursive: true });
            for (const [name, svg] of Object.entries(renderPlots(figures))) {
                await writeFile(join(args.plots, name), svg);
            }
        }
        const table = renderCapacity(projectCapacity(figures, capacityTarget));
        process.stdout.write(`${renderSeries(figures)}\n\n${table}\n`);
        if (figures.skipped.length > 0) {
            process.stdout.write(`\nNot run, the time was up: ${figures.skipped.join("; ")}\n`);
        }
    },
});
