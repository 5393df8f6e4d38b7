import type { Clock } from "@auburnarch/types/Clock";
import type { OperatorClient } from "./OperatorClient.js";

/** The input and output of the command line: streams, files, environment, clock and network. */
export interface CliIo {
    writeOut(text: string): void;
    writeError(text: string): void;
    /** Whether the error stream, which also shows progress, is a terminal. */
    isTerminal: boolean;
    readFile(path: string): Promise<string>;
    readEnv(name: string): string | undefined;
    clock: Clock;
    createClient(entryUrl: string, token: string): OperatorClient;
}
