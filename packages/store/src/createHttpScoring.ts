import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import { z } from "zod";
import { createJsonClient } from "./createJsonClient.js";
import type { HttpClientOptions } from "./HttpClientOptions.js";
import { parseAnswer } from "./parseAnswer.js";

const scoreAnswer = z.object({ score: z.number() });

/** Creates a client of a scoring service over HTTP (`POST /score`). */
export function createHttpScoring(baseUrl: string, options: HttpClientOptions = {}): ScoringPort {
    const faultCode = resultCodes.scoringUnavailable;
    const client = createJsonClient(baseUrl, faultCode, options);
    return async (service, prompt, text) => {
        const { value } = await client.call("POST", "/score", { service, prompt, text });
        return parseAnswer(scoreAnswer, value, faultCode).score;
    };
}
