import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import { expect, test } from "vitest";
import { choosePlainSampler } from "./choosePlainSampler.js";

const lugo = "Lugo" as FailureDomain;

interface ViewOptions {
    domain?: string;
    state?: string;
    running?: number;
    limit?: number;
    sent?: number;
    suspected?: boolean;
}

function view(sampler: string, options: ViewOptions = {}): SamplerView {
    const { domain = "Lugo", state = "ready", running = 0, limit = 10, sent = 0, suspected = false } =
        options;
    const report = { sampler, failureDomain: domain, state, running, waiting: 0, limit };
    return {
        report: report as unknown as SamplerView["report"],
        reportAgeMs: 100,
        sentAttempts: sent,
        sentTokens: 0,
        sentSinceReport: sent,
        suspected,
    };
}

const choose = (views: SamplerView[], tried: string[] = [], draw = 0.5) =>
    choosePlainSampler(views, tried as SamplerId[], lugo, () => draw);

test("chooses the least loaded sampler, including sends since its report", () => {
    const lagging = view("lagging", { running: 1, sent: 6 });
    expect(choose([lagging, view("busy", { running: 4 })])).toMatchInlineSnapshot(`
      {
        "candidates": 2,
        "loadRatio": 0.4,
        "reason": "leastLoadNearby",
        "sampler": "busy",
      }
    `);
});

test("compares load relative to each sampler's limit and prefers the same failure domain in a tie", () => {
    const large = view("large", { running: 8, limit: 80, domain: "Bilbao" });
    expect(choose([view("small", { running: 2, limit: 4 }), large])?.sampler).toBe("large");
    expect(choose([view("far", { domain: "Bilbao" }), view("near")])?.reason).toBe("leastLoadNearby");
});

test("excludes leaving, down and tried samplers and uses suspected ones last", () => {
    const views = [
        view("leaving", { state: "leaving" }),
        view("down", { state: "engineDown" }),
        view("suspected", { suspected: true }),
        view("loaded", { running: 9 }),
    ];
    expect(choose(views)?.sampler).toBe("loaded");
    expect(choose(views, ["loaded"])?.sampler).toBe("suspected");
    expect(choose(views, ["loaded", "suspected"])).toBeUndefined();
});
