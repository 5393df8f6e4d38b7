import { sidecarHeaders } from "@auburnarch/transport/sidecarHeaders";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ServerResponse } from "node:http";

const maxDetailChars = 300;

/** Responds that nothing was run, because the message itself was rejected. */
export function writeErrorAnswer(
    response: ServerResponse,
    incarnation: IncarnationId,
    code: ResultCode,
    detail: string,
): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const { number, name, meaning, action } = code;
    const fault = { code: number, name, detail: detail.slice(0, maxDetailChars), meaning, action };
    const body = Buffer.from(JSON.stringify(fault));
    response.writeHead(code.httpStatus, {
        "content-type": "application/json",
        "content-length": body.length,
        // The rest of the request will not be read.
        "connection": "close",
        [sidecarHeaders.outcome]: "notRun",
        [sidecarHeaders.code]: String(number),
        [sidecarHeaders.incarnation]: incarnation,
    });
    response.end(body);
}
