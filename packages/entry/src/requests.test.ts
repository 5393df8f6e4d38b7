import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { JobId } from "@auburnarch/types/JobId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { ServiceManifest } from "@auburnarch/types/ServiceManifest";
import type { TeamId } from "@auburnarch/types/TeamId";
import fc from "fast-check";
import type { IncomingMessage } from "node:http";
import { expect, test } from "vitest";
import { isRepeatable } from "./isRepeatable.js";
import { matchRoute } from "./matchRoute.js";
import { outcomeOfCode } from "./outcomeOfCode.js";
import { parseTrainerBody } from "./parseTrainerBody.js";
import { readCallerRequest } from "./readCallerRequest.js";

test("matches routes by method and path", () => {
    const routes = [
        "GET /v1/services/tiles/tiles/7/61/48?layer=smoke",
        "GET /v1/services/tiles?layer=smoke",
        "POST /v1/services/tiles/../../operator/status",
        "POST /v1/jobs/forecast/steps",
        "POST /v1/jobs/forecast/weights",
        "GET /v1/jobs/forecast/steps/3/groups?cursor=abc&waitMs=99999999",
        "GET /v1/jobs/forecast/steps/3/groups?waitMs=-1",
        "GET /v1/jobs/forecast/weights/3/groups",
        "DELETE /v1/jobs/forecast",
        "GET /v1/jobs/%E0%A4%A",
        "GET http://[",
        "GET /operator/constructor",
        "GET /__proto__",
    ].map(line => {
        const [method, target] = line.split(" ");
        return `${line} -> ${JSON.stringify(matchRoute(method!, target!))}`;
    });
    expect(routes.join("\n")).toMatchInlineSnapshot(`
      "GET /v1/services/tiles/tiles/7/61/48?layer=smoke -> {"kind":"service","service":"tiles","path":"/tiles/7/61/48?layer=smoke"}
      GET /v1/services/tiles?layer=smoke -> {"kind":"service","service":"tiles","path":"/?layer=smoke"}
      POST /v1/services/tiles/../../operator/status -> {"kind":"service","service":"tiles","path":"/../../operator/status"}
      POST /v1/jobs/forecast/steps -> {"kind":"openStep","job":"forecast"}
      POST /v1/jobs/forecast/weights -> {"kind":"publishWeights","job":"forecast"}
      GET /v1/jobs/forecast/steps/3/groups?cursor=abc&waitMs=99999999 -> {"kind":"readGroups","job":"forecast","step":3,"cursor":"abc","waitMs":30000}
      GET /v1/jobs/forecast/steps/3/groups?waitMs=-1 -> {"kind":"readGroups","job":"forecast","step":3,"waitMs":0}
      GET /v1/jobs/forecast/weights/3/groups -> {"kind":"none"}
      DELETE /v1/jobs/forecast -> {"kind":"none"}
      GET /v1/jobs/%E0%A4%A -> {"kind":"none"}
      GET http://[ -> {"kind":"none"}
      GET /operator/constructor -> {"kind":"operator","action":"GET constructor","query":{}}
      GET /__proto__ -> {"kind":"none"}"
    `);
});

test("returns a route for any target without throwing", () => {
    const parts = fc.constantFrom(
        "/v1",
        "/services",
        "/jobs",
        "/operator",
        "/steps",
        "//",
        "%",
        "?",
        "..",
        "x",
    );
    const target = fc.oneof(fc.string(), fc.array(parts).map(each => each.join("")));
    fc.assert(fc.property(fc.string(), target, (method, path) => {
        expect(matchRoute(method, path).kind).toBeTypeOf("string");
    }));
});

test("a call may be repeated only if its service lists the method and path", () => {
    const service = { kind: "plain", repeatable: ["GET /tiles", "HEAD"] } as ServiceManifest;
    const calls = [
        "GET /tiles",
        "GET /tiles/1?x=/alerts",
        "GET /tilesets",
        "GET /alerts",
        "POST /tiles/1",
        "HEAD /alerts",
    ];
    const repeatable = calls.filter(call => isRepeatable(service, call.split(" ")[0]!, call.split(" ")[1]!));
    expect(repeatable).toEqual(["GET /tiles", "GET /tiles/1?x=/alerts", "HEAD /alerts"]);
    expect(isRepeatable({ ...service, kind: "rollout" }, "POST", "/v1/completions")).toBe(true);
});

test("only codes that are used before any effect have the outcome notRun", () => {
    const notRun = Object.values(resultCodes).filter(code => outcomeOfCode(code) === "notRun");
    const unknown = Object.values(resultCodes).filter(code => outcomeOfCode(code) === "unknown");
    expect(unknown.map(code => code.name).join(" ")).toMatchInlineSnapshot(
        `"connectionBroken incarnationChanged keyTakenOver engineCrashed deadlineWhileRunning cancelled acceptanceUnknown endUnknown answerTooLong answerMalformed storeUnavailable vmListUnavailable engineUnreachable scoringUnavailable sidecarUnreachable peerUnreachable internal provenanceMissing staleDelivered deliveredTwice answerMixed notRunButRan ranTwice workAfterLeave shutdownCutOff configReverted fencingWentBack usageWentBack"`,
    );
    expect(notRun.map(code => Math.floor(code.number / 1_000)).filter(family => family === 3)).toEqual([]);
});

const read = (headers: Record<string, string>) =>
    readCallerRequest(
        { method: "POST", headers } as unknown as IncomingMessage,
        "plume" as TeamId,
        "tiles" as ServiceId,
        "/alerts",
        new Uint8Array(),
    );

test("forwards a caller's headers without system headers, hop-by-hop headers and the token", () => {
    expect(read({
        "accept": "image/png",
        "authorization": "Bearer secret",
        "connection": "close, X-Hop",
        "idempotency-key": "key",
        "x-hop": "1",
        "x-auburnarch-team": "ridge",
        "x-auburnarch-forwarded": "1",
        "x-auburnarch-cluster-token": "guess",
        "x-auburnarch-deadline-ms": "250",
        "x-auburnarch-idempotent": "false",
    })).toMatchInlineSnapshot(`
      {
        "body": Uint8Array [],
        "budgetMs": 250,
        "forwarded": false,
        "headers": {
          "accept": "image/png",
        },
        "idempotencyKey": "key",
        "idempotent": false,
        "method": "POST",
        "path": "/alerts",
        "service": "tiles",
        "team": "plume",
      }
    `);
});

test("refuses invalid headers", () => {
    const hostile = ["0", "-1", "1e99", "NaN", "", " ", "soon"];
    for (const value of hostile) {
        expect(() => read({ "x-auburnarch-deadline-ms": value })).toThrow("x-auburnarch-deadline-ms");
    }
    expect(() => read({ "x-auburnarch-idempotent": "yes" })).toThrow("x-auburnarch-idempotent");
});

test("parses a trainer's body or refuses it with every fault named", () => {
    const open = { kind: "openStep", job: "forecast" as JobId } as const;
    const spec = { step: 1, prompts: [{ prompt: "ridge", maxTokens: 5 }] };
    expect(parseTrainerBody(open, spec)).toMatchObject({ kind: "openStep", job: "forecast", spec });
    const broken = { step: -1, prompts: [{ prompt: "", maxTokens: 0 }], job: "estimates" };
    expect(() => parseTrainerBody(open, broken)).toThrowErrorMatchingInlineSnapshot(
        `[ResultError: 1000 badRequest: The request is malformed. (step: Too small: expected number to be >=0; prompts.0.prompt: Too small: expected string to have >=1 characters; prompts.0.maxTokens: Too small: expected number to be >=1; body: Unrecognized key: "job") Correct the named field and send again.]`,
    );
    fc.assert(fc.property(fc.anything(), body => {
        expect(() => parseTrainerBody(open, body)).toThrow();
    }));
});
