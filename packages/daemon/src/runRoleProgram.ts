import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { randomInt } from "node:crypto";
import { write } from "node:fs";
import { createLineWriter } from "./createLineWriter.js";
import { runRole } from "./runRole.js";

/** Environment variable in which the platform passes the path of the settings file. */
const settingsVariable = "AUBURNARCH_BOOT";
const standardOutput = 1;
const maxSeed = 2 ** 31;

const clock = createSystemClock();
const lines = createLineWriter(clock, (text, done) => write(standardOutput, text, done));
const path = process.argv[2] ?? process.env[settingsVariable];
if (path === undefined) {
    process.stderr.write(`Name the settings file as the argument, or in ${settingsVariable}.\n`);
    process.exit(2);
}
process.on("uncaughtException", error => {
    lines.write(`level=error event=crashed detail=${JSON.stringify(error.stack ?? String(error))}`);
    void lines.flush().then(() => process.exit(1));
});
const context = { clock, random: createRandom(randomInt(maxSeed)), writeLine: lines.write };
const code = await runRole(path, context);
await lines.flush();
process.exit(code);
