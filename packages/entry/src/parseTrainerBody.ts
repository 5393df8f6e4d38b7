import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { z } from "zod";
import type { EntryRoute } from "./EntryRoute.js";
import { stepSchema } from "./stepSchema.js";
import type { TrainerCall } from "./TrainerCall.js";
import { weightsSchema } from "./weightsSchema.js";

function parse<T>(schema: z.ZodType<T>, body: unknown): T {
    const parsed = schema.safeParse(body);
    if (parsed.success) {
        return parsed.data;
    }
    const faults = parsed.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
    throw new ResultError(resultCodes.badRequest, faults.join("; "));
}

/** Converts a trainer's route and JSON body to a call; throws code `badRequest` with every fault. */
export function parseTrainerBody(route: EntryRoute, body: unknown): TrainerCall {
    if (route.kind === "openStep") {
        const spec = parse(stepSchema, body);
        return {
            kind: "openStep",
            job: route.job,
            spec: { step: spec.step as StepNumber, prompts: spec.prompts, needAtMs: spec.needAtMs },
        };
    }
    if (route.kind === "publishWeights") {
        const weights = parse(weightsSchema, body);
        return {
            kind: "publishWeights",
            job: route.job,
            weights: {
                policy: weights.policy as PolicyId,
                version: weights.version as WeightVersion,
                location: weights.location,
            },
        };
    }
    throw new ResultError(resultCodes.notFound);
}
