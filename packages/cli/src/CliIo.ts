import type { Clock } from "@auburnarch/types/Clock";
import type { OperatorClient } from "./OperatorClient.js";

/** What the command line needs of its surroundings. */
export interface CliIo {
    writeOut(text: string): void;
    writeError(text: string): void;
    /** True if errors and progress go to a terminal. */
    isTerminal: boolean;
    readFile(path: string): Promise<string>;
    readEnv(name: string): string | undefined;
    clock: Clock;
    createClient(entryUrl: string, token: string): OperatorClient;
}
