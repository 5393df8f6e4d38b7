import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { sendFailure } from "./sendFailure.js";
import { writeAnswer } from "./writeAnswer.js";

const clock = createSystemClock();
let server: Server;

afterEach(() => {
    server.closeAllConnections();
    server.close();
});

const immediately = Promise.resolve();

/** Serves one answer with the body `parts`; if `cut`, the body fails after them as soon as `mayCut` has resolved. */
async function fetchAnswer(
    parts: string[],
    cut: boolean,
    headers: Record<string, string> = {},
    mayCut: Promise<void> = immediately,
) {
    async function* body(): AsyncGenerator<Uint8Array> {
        for (const part of parts) {
            yield Buffer.from(part);
        }
        if (cut) {
            await mayCut;
            throw new ResultError(resultCodes.connectionBroken);
        }
    }
    server = createServer((_request, response) => {
        writeAnswer(clock, response, { status: 201, headers, body: body() })
            .catch(error => sendFailure(response, error));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
}

test("a complete answer arrives with its status, headers and outcome", async () => {
    const answer = await fetchAnswer(["smoke ", "map"], false, { "x-layer": "1", "set-cookie": "a=1\nb=2" });
    expect([answer.status, await answer.text(), answer.headers.get("x-auburnarch-outcome")]).toEqual(
        [201, "smoke map", "ran"],
    );
    expect([answer.headers.get("x-layer"), answer.headers.getSetCookie()]).toEqual(["1", ["a=1", "b=2"]]);
});

test("an interrupted answer breaks the caller's connection", async () => {
    // Guards against a truncated answer that the caller takes for a complete one.
    for (const headers of [{}, { "content-length": "9" }]) {
        let cutNow = (): void => undefined;
        const arrived = new Promise<void>(resolve => {
            cutNow = resolve;
        });
        const answer = await fetchAnswer(["smoke "], true, headers as Record<string, string>, arrived);
        const reader = answer.body!.getReader();
        expect(Buffer.from((await reader.read()).value!).toString()).toBe("smoke ");
        cutNow();
        await expect(reader.read()).rejects.toThrow();
        server.closeAllConnections();
        server.close();
    }
});

test("an answer that is interrupted before anything is sent becomes an error with unknown outcome", async () => {
    for (const parts of [[], ["smoke "]]) {
        const outcome = await fetchAnswer(parts, true).then(
            async answer =>
                `${answer.headers.get("x-auburnarch-outcome")} ${
                    (await answer.json() as { name: string; }).name
                }`,
            () => "broken",
        );
        expect(["broken", "unknown connectionBroken"]).toContain(outcome);
        server.closeAllConnections();
        server.close();
    }
});
