import { expect, test } from "vitest";
import { summarizeLoads } from "./summarizeLoads.js";

const line = (second: number, event: string, rest: string): string =>
    `  ${second} collected time=2026-01-01T00:00:0${
        second.toFixed(3)
    }Z level=info event=${event} process=r1 ${rest}`;

test("loads are summarized by policy, including loads that replaced another policy", () => {
    const log = [
        line(1, "loadDone", "sampler=a policy=plume version=2 tookMs=900"),
        line(2, "loadDone", "sampler=b policy=ridge version=2 tookMs=1000"),
        line(3, "loadDone", "sampler=a policy=ridge version=2 tookMs=900"),
        line(5, "loadFailed", "sampler=b policy=ridge version=3 tookMs=2500"),
        line(4, "loadOrdered", "sampler=b policy=ridge version=3"),
        line(6, "loadDone", "sampler=a policy=plume version=3 tookMs=1100"),
    ].join("\n");
    expect(summarizeLoads([log])).toEqual([
        { policy: "plume", loads: 2, failed: 0, samplers: 1, changed: 1, meanMs: 1_000, totalMs: 2_000 },
        { policy: "ridge", loads: 3, failed: 1, samplers: 2, changed: 1, meanMs: 950, totalMs: 4_400 },
    ]);
});

test("logs without a finished load give no rows", () => {
    expect(summarizeLoads([line(1, "loadOrdered", "sampler=a policy=plume"), ""])).toEqual([]);
});
