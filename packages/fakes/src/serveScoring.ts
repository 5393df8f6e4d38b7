import type { ScoringPort } from "@auburnarch/types/ScoringPort";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import { serveJson } from "./serveJson.js";

/** Serves a scoring service: `POST /score` with service, prompt and text. */
export function serveScoring(scoring: ScoringPort, port = 0): Promise<HttpServerHandle> {
    return serveJson(async call => {
        const body = call.body as { service: string; prompt: string; text: string; };
        return { status: 200, value: { score: await scoring(body.service, body.prompt, body.text) } };
    }, port);
}
