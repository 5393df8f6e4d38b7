import { expect, test } from "vitest";
import { findLogLines } from "./findLogLines.js";

const gateway = [
    "  1.2 front-1 time=2026-01-01T00:00:01.000Z level=info event=lotAccepted process=front-1 lot=lot-1 items=2",
    "time=2026-01-01T00:00:09.000Z level=warn event=clientRefused process=front-1 request=q-1 code=2002 name=noSampler",
    "no log line at all lot-1",
].join("\n");
const runner = [
    "time=2026-01-01T00:00:02.500Z level=info event=samplerPicked process=runner-1 sample=lot-1/i1 sampler=s-1",
    "time=2026-01-01T00:00:01.100Z level=info event=lotTaken process=runner-1 lot=lot-1 total=2",
    "time=2026-01-01T00:00:02.600Z level=info event=samplerPicked process=runner-1 sample=lot-12/i1 sampler=s-1",
].join("\n");

test("lines of all processes that mention an id are sorted by time", () => {
    const events = (id: string): string[] =>
        findLogLines([gateway, runner], id).map(line => `${line.process} ${line.event}`);
    expect({ lot: events("lot-1"), item: events("i1"), request: events("q-1"), none: events("lot") }).toEqual(
        {
            lot: ["front-1 lotAccepted", "runner-1 lotTaken", "runner-1 samplerPicked"],
            item: ["runner-1 samplerPicked", "runner-1 samplerPicked"],
            request: ["front-1 clientRefused"],
            none: [],
        },
    );
});

test("a prefix added by a log collector is removed", () => {
    expect(findLogLines([gateway], "lot-1")[0]!.text).toMatch(/^time=/u);
});
