import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { OperatorError } from "@auburnarch/types/OperatorError";
import type { CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { formatFaults } from "./formatFaults.js";

function exitCodeOf(error: OperatorError): number {
    if (error.code === resultCodes.badRequest.number) {
        return exitCodes.wrongUsage;
    }
    if (error.code === resultCodes.manifestInvalid.number) {
        return exitCodes.faults;
    }
    if (error.code === resultCodes.manifestRaced.number) {
        return exitCodes.raced;
    }
    const retryable: number[] = [
        resultCodes.peerUnreachable.number,
        resultCodes.notReady.number,
        resultCodes.shuttingDown.number,
        resultCodes.storeUnavailable.number,
        resultCodes.storeThrottled.number,
        resultCodes.intentRefused.number,
    ];
    return retryable.includes(error.code) ? exitCodes.unreachable : exitCodes.refused;
}

/** Formats an error as output: its number and name, what happened, and what the operator can do. */
export function failureOutput(error: OperatorError): CommandOutput {
    return {
        exitCode: exitCodeOf(error),
        json: { error },
        lines: [
            `${error.code} ${error.name}: ${error.message}`,
            ...formatFaults(error.faults ?? []).map(line => `  ${line}`),
            error.action,
        ],
    };
}
