import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { readFile } from "node:fs/promises";
import type { CliIo } from "./CliIo.js";
import { createOperatorClient } from "./createOperatorClient.js";

/** Input and output of the command line in a real process. */
export function createSystemIo(): CliIo {
    return {
        writeOut: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        isTerminal: process.stderr.isTTY === true,
        readFile: path => readFile(path, "utf8"),
        readEnv: name => process.env[name],
        clock: createSystemClock(),
        createClient: createOperatorClient,
    };
}
