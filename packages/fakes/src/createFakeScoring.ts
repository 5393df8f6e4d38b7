import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import { hashText } from "./hashText.js";

interface FakeScoringControl {
    setOutage(down: boolean): void;
    setLatency(latencyMs: number): void;
    calls(): number;
}

const scoreSteps = 1_000;

/** Creates a scoring service whose score, in [0, 1), depends only on the prompt and the text. */
export function createFakeScoring(
    options: { clock: Clock; latencyMs: number; },
): { scoring: ScoringPort; control: FakeScoringControl; } {
    const { clock } = options;
    let latencyMs = options.latencyMs;
    let down = false;
    let calls = 0;

    const scoring: ScoringPort = async (service, prompt, text) => {
        calls++;
        if (latencyMs > 0) {
            await clock.sleep(latencyMs);
        }
        if (down) {
            throw new ResultError(resultCodes.scoringUnavailable, service);
        }
        return (hashText(text, hashText(prompt)) % scoreSteps) / scoreSteps;
    };
    return {
        scoring,
        control: {
            setOutage: isDown => {
                down = isDown;
            },
            setLatency: ms => {
                latencyMs = ms;
            },
            calls: () => calls,
        },
    };
}
