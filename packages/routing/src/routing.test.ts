import { createRandom } from "@auburnarch/clock/createRandom";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { expect, test } from "vitest";
import { chooseService } from "./chooseService.js";
import { findRoute } from "./findRoute.js";
import type { Route } from "./Route.js";

const route = (name: string, host: string, pathPrefix: string): Route => ({
    name,
    host,
    pathPrefix,
    kind: "idempotent",
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    backends: [{ service: "tiles" as ServiceId, weight: 90 }, {
        service: "new-tiles" as ServiceId,
        weight: 10,
    }],
    maxAttempts: 2,
    deadlineMs: undefined,
    itemTtlMs: undefined,
    isSingleVersion: false,
    allowsAnonymous: false,
    priority: undefined,
});

const table = {
    version: 1 as ConfigVersion,
    routes: [
        route("all", "a.example", "/"),
        route("tiles", "a.example", "/tiles/"),
        route("b", "b.example", "/x/"),
    ],
    services: new Map(),
    clientLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    teams: undefined,
    faults: [],
};

test("the longest matching prefix of the host is chosen, and never a route of another host", () => {
    const found = [["a.example", "/tiles/7"], ["A.example:8080", "/tilesx"], ["b.example", "/tiles/7"], [
        "b.example",
        "/x/",
    ]]
        .map(([host, path]) => findRoute(table, host!, path!)?.name);
    expect(found).toEqual(["tiles", "all", undefined, "b"]);
});

test("requests of a route with several services are split by their weights", () => {
    const random = createRandom(3);
    const drawn = Array.from({ length: 2_000 }, () => chooseService(table.routes[0]!, random));
    const share = drawn.filter(service => service === "new-tiles").length / drawn.length;
    expect(share).toBeGreaterThan(0.08);
    expect(share).toBeLessThan(0.12);
});
