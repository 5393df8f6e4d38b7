import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TrainerPort } from "@auburnarch/fakes/TrainerPort";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobId } from "@auburnarch/types/JobId";
import type { Agent } from "node:http";
import { callEntry } from "./callEntry.js";

const timeoutMs = 40_000;

interface TrainerClientOptions {
    agent: Agent;
    /** Addresses of entries; calls are distributed round-robin, because any entry can answer. */
    addresses: string[];
    job: JobId;
    token: string;
}

/**
 * Creates a trainer's HTTP client. It tracks the highest fencing number of all answers and rejects answers with a lower
 * one, because their sender no longer owns the job.
 */
export function createTrainerClient(options: TrainerClientOptions): TrainerPort {
    const { agent, addresses, job, token } = options;
    let nextCall = 0;
    let highestFencing = 0;

    function checkFencing(answer: unknown): void {
        const { fencing } = answer as { fencing: number; };
        if (fencing < highestFencing) {
            throw new ResultError(resultCodes.fenced, `${fencing} after ${highestFencing}`);
        }
        highestFencing = fencing;
    }

    async function call(method: string, path: string, body?: unknown): Promise<unknown> {
        const address = addresses[nextCall++ % addresses.length]!;
        const answer = await callEntry({
            agent,
            address,
            method,
            path: `/v1/jobs/${job}/${path}`,
            token,
            body,
            timeoutMs,
        });
        checkFencing(answer);
        return answer;
    }

    return {
        openStep: async spec => void await call("POST", "steps", spec),
        publishWeights: async weights => void await call("POST", "weights", weights),
        readGroups: async (step, cursor, waitMs) => {
            const query = new URLSearchParams({ waitMs: String(waitMs) });
            if (cursor !== undefined) {
                query.set("cursor", cursor);
            }
            return await call("GET", `steps/${step}/groups?${query}`) as GroupsPage;
        },
    };
}
