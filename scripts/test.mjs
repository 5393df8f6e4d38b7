// Runs all tests. A failure passes only if KNOWN-RED.txt lists that very test; each of these is printed, and so is a
// listed test that passes, since an entry can be of a fault that shows only at times. A listed test that is gone fails
// the run. An entry that begins with "command: " names a command which is no test of this run: it is printed and excuses
// no test.
import { readFileSync } from "node:fs";
import { relative } from "node:path";
import { startVitest } from "vitest/node";

const commandPrefix = "command: ";
const entries = readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(Boolean);
const commands = entries.filter(line => line.startsWith(commandPrefix));
const listed = new Map(
    entries.filter(line => !line.startsWith(commandPrefix)).map(line => [line.split(" | ")[0], line]),
);
const vitest = await startVitest("test", process.argv.slice(2), { watch: false, run: true });
const results = vitest.state.getTestModules().flatMap(module =>
    [...module.children.allTests()].map(test => ({
        name: `${relative(process.cwd(), module.moduleId)} > ${test.fullName}`,
        state: test.result().state,
    }))
);
const brokenModules = vitest.state.getTestModules().filter(module => module.errors().length > 0);
const unhandled = vitest.state.getUnhandledErrors();
const failed = results.filter(result => result.state === "failed");
const unknown = failed.filter(result => !listed.has(result.name));
const known = failed.filter(result => listed.has(result.name));
const isWhole = process.argv.length === 2;
const gone = isWhole ? [...listed.keys()].filter(name => !results.some(result => result.name === name)) : [];
const green = results.filter(result => result.state === "passed" && listed.has(result.name));
await vitest.close();

commands.forEach(line => console.log(`known red, not run here: ${line.slice(commandPrefix.length)}`));
known.forEach(result => console.log(`known red: ${listed.get(result.name)}`));
unknown.forEach(result => console.log(`failed: ${result.name}`));
green.forEach(result => console.log(`listed in KNOWN-RED.txt, passed in this run: ${result.name}`));
gone.forEach(name => console.log(`listed in KNOWN-RED.txt but gone: ${name}`));
brokenModules.forEach(module => console.log(`not loaded: ${module.moduleId}`));
unhandled.forEach(error => console.log(`unhandled: ${String(error)}`));
const passed = results.filter(result => result.state === "passed").length;
const isGood = unknown.length + gone.length + brokenModules.length + unhandled.length === 0 && passed > 0;
console.log(`known red: ${known.length}, not known: ${unknown.length}`);
console.log(`${passed} passed, ${unknown.length + brokenModules.length} failed`);
process.exit(isGood ? 0 : 1);
