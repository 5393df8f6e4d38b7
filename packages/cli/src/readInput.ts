import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { CliIo } from "./CliIo.js";
import { OperatorFailure } from "./OperatorFailure.js";

/** Text of a file named on the command line. Rejects with an `OperatorFailure` that says why it can't be read. */
export async function readInput(io: CliIo, path: string): Promise<string> {
    try {
        return await io.readFile(path);
    }
    catch (error) {
        const { number, name } = resultCodes.badRequest;
        const reason = error instanceof Error ? error.message : String(error);
        throw new OperatorFailure({
            code: number,
            name,
            message: `${path} can't be read (${reason}).`,
            action: "Check the path.",
        });
    }
}
