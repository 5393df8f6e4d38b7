import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SidecarContext } from "./SidecarContext.js";

/** Makes the checks of a sample whose result may change while it waits: fencing, served policy, minimum version. */
export function findSampleRefusal(context: SidecarContext, attempt: SampleAttempt): ResultCode | undefined {
    const { guards, weights } = context;
    if (!guards.fencing(context.fencing.highest(attempt.job), attempt.fencing)) {
        return resultCodes.fenced;
    }
    if (weights === undefined) {
        return resultCodes.wrongPolicy;
    }
    if (weights.state() === "engineDown") {
        return resultCodes.engineDown;
    }
    if (!guards.versionKnown(weights.state() !== "unknownVersion")) {
        return resultCodes.notReady;
    }
    const served = weights.versionOf(attempt.policy);
    if (served === undefined) {
        return resultCodes.wrongPolicy;
    }
    return guards.minVersion(served, attempt.minVersion) ? undefined : resultCodes.staleWeights;
}
