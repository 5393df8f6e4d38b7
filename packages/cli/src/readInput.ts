import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { CliIo } from "./CliIo.js";
import { OperatorFailure } from "./OperatorFailure.js";

/** Reads a file named on the command line; rejects with an `OperatorFailure` that contains the reason if that fails. */
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
