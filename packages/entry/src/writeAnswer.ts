import { createResponseSink } from "@auburnarch/streams/createResponseSink";
import { pipeBody } from "@auburnarch/streams/pipeBody";
import { toNodeHeaders } from "@auburnarch/transport/toNodeHeaders";
import type { Clock } from "@auburnarch/types/Clock";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { ServerResponse } from "node:http";
import { forwardHeaders } from "./forwardHeaders.js";

/**
 * Streams an answer to the caller. Rejects if the answer is interrupted; the connection must then be destroyed, so that
 * the caller sees an error and not a truncated answer.
 */
export async function writeAnswer(
    clock: Clock,
    response: ServerResponse,
    answer: PlainAnswer,
): Promise<void> {
    const headers = { ...toNodeHeaders(answer.headers), [forwardHeaders.outcome]: "ran" };
    await pipeBody(clock, answer.body, createResponseSink(response, answer.status, headers));
}
