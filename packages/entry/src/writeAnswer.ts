import { writeHeaders } from "@auburnarch/send/writeHeaders";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { forwardHeaders } from "./forwardHeaders.js";

/**
 * Streams an answer to the caller. If the answer breaks off, `pipeline` destroys the connection, so that the
 * caller sees a fault and not a short answer.
 */
export async function writeAnswer(response: ServerResponse, answer: PlainAnswer): Promise<void> {
    response.writeHead(answer.status, { ...writeHeaders(answer.headers), [forwardHeaders.outcome]: "ran" });
    const body = answer.body instanceof Readable
        ? answer.body
        : Readable.from(answer.body, { objectMode: false });
    await pipeline(body, response);
}
