import fc from "fast-check";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { diffManifests } from "./diffManifests.js";
import { keysAt } from "./keysAt.js";
import { manifestSchema } from "./manifestSchema.js";
import { parseManifest } from "./parseManifest.js";
import { validateManifest } from "./validateManifest.js";

const readExample = (name: string): string =>
    readFileSync(new URL(`../../../examples/${name}`, import.meta.url), "utf8");

function parseExample(name: string) {
    const result = parseManifest(readExample(name));
    if (result.kind === "invalid") {
        throw new Error(JSON.stringify(result.faults));
    }
    return result.manifest;
}

test.each([
    ["humoboira.manifest.json", ["Pamplona", "Lugo", "Burgos", "Bilbao"]],
    ["cymdeithas.manifest.json", ["Caerdydd", "Abertawe", "Casnewydd", "Pen-y-bont"]],
])("%s is valid and has 6 + 4 samplers in the expected failure domains", (file, places) => {
    const manifest = parseExample(file);
    const perService = manifest.services.map(({ service }) =>
        manifest.samplers.filter(sampler => sampler.service === service).length
    );
    expect(perService).toEqual([6, 4]);
    expect([...new Set(manifest.samplers.map(sampler => sampler.failureDomain))]).toEqual(places);
    expect(manifest.teams.length).toBeGreaterThanOrEqual(2);
    expect(manifest.jobs.length).toBeGreaterThanOrEqual(2);
});

test("every fault is reported with its path and the nearest valid name", () => {
    const result = validateManifest({
        name: "x",
        teams: [
            { team: "fire", share: 0.7, tokenDigests: ["ab"] },
            { team: "fire", shar: 0.7, tokenDigests: [] },
            { team: "air", share: 0.6, tokenDigests: ["0".repeat(64), "0".repeat(64)] },
        ],
        services: [
            { service: "rollouts", kind: "rolout", repeatable: ["FETCH tiles"] },
            { service: "tiles", kind: "plain" },
        ],
        samplers: [{ sampler: "s/1", service: "rollout", failureDomain: "Lugo" }],
        jobs: [
            {
                job: "train",
                team: "fier",
                service: "tiles",
                policy: "p",
                scoring: "s",
                groupSize: 4,
                samplesPerStep: 6,
                maxStalenessVersions: -1,
                stepNeedMs: 1.5,
            },
        ],
        limts: {},
        limits: { maxSwappingRatio: 0 },
    });
    expect(result).toMatchSnapshot();
});

test("docs/manifest.md has a row for each key of the schema", () => {
    const page = readFileSync(new URL("../../../docs/manifest.md", import.meta.url), "utf8");
    const sections = new Map(page.split("\n## ").map(text => [text.split("\n", 1)[0]!, text]));
    const rowsOf = (section: string): string[] =>
        [...sections.get(section)!.matchAll(/^\| `(\w+)` \|/gmu)].map(found => found[1]!);
    expect(rowsOf("Top level")).toEqual(keysAt(manifestSchema, []));
    for (const list of ["teams", "services", "samplers", "jobs"]) {
        expect(rowsOf(list)).toEqual(keysAt(manifestSchema, [list, 0]));
    }
    expect(rowsOf("limits")).toEqual(keysAt(manifestSchema, ["limits"]));
});

test.each([undefined, 3, "text", [], [[]], { teams: {} }, { teams: [3, "x"], jobs: [[], 1] }])(
    "%j is rejected without throwing",
    json => {
        expect(validateManifest(json).kind).toBe("invalid");
    },
);

test("text that is not JSON is reported as one fault with an empty path", () => {
    expect(parseManifest("{")).toMatchObject({ kind: "invalid", faults: [{ path: "" }] });
});

test("omitted limits are derived from the number of samplers", () => {
    const manifest = parseExample("humoboira.manifest.json");
    expect(manifest.limits).toMatchInlineSnapshot(`
      {
        "defaultDeadlineMs": 30000,
        "interactiveWaitMs": 150,
        "maxBodyBytes": 1048576,
        "maxQueuedPerTeam": 640,
        "maxSwappingRatio": 0.25,
        "retryBudgetRatio": 0.1,
      }
    `);
});

test("a manifest that exceeds the object API's value size is rejected", () => {
    const example = JSON.parse(readExample("humoboira.manifest.json")) as { samplers: object[]; };
    const samplers = Array.from({ length: 12_000 }, (_, at) => ({
        sampler: `sampler-with-a-rather-long-name-${at}`,
        service: "plume-rollouts",
        failureDomain: "Lugo",
    }));
    expect(validateManifest({ ...example, samplers })).toMatchObject({
        kind: "invalid",
        faults: [{ path: "" }],
    });
    expect(validateManifest({ ...example, samplers: samplers.slice(0, 4_100) }).kind).toBe("valid");
});

test("validation never throws, and a valid manifest stays valid with its defaults filled in", () => {
    const keys = fc.constantFrom(
        "name",
        "teams",
        "jobs",
        "share",
        "team",
        "service",
        "groupSize",
        "__proto__",
    );
    const { value } = fc.letrec(tie => ({
        value: fc.oneof(
            { maxDepth: 4 },
            fc.constantFrom(0, 1, -1, 0.5, "a", "__proto__", true, undefined),
            fc.array(tie("value"), { maxLength: 4 }),
            fc.dictionary(keys, tie("value"), { maxKeys: 5 }),
        ),
    }));
    const base = JSON.parse(readExample("cymdeithas.manifest.json")) as Record<string, unknown>;
    fc.assert(
        fc.property(fc.constantFrom(...Object.keys(base)), value, (key, replacement) => {
            const result = validateManifest({ ...base, [key]: replacement });
            if (result.kind === "valid") {
                expect(validateManifest(result.manifest)).toEqual(result);
            }
            else {
                expect(result.faults.length).toBeGreaterThan(0);
            }
        }),
        { seed: 1, numRuns: 500 },
    );
});

test("differences are listed line by line, with abbreviated token digests", () => {
    const before = parseExample("humoboira.manifest.json");
    const after = structuredClone(before);
    after.teams[0]!.share = 0.5;
    after.teams[1]!.tokenDigests = ["f".repeat(64)];
    after.samplers.splice(0, 1);
    after.jobs[1]!.priority = 9;
    after.jobs.push({ ...after.jobs[0]!, job: "night-train" as typeof after.jobs[0]["job"] });
    after.limits.interactiveWaitMs = 50;
    expect(diffManifests(before, after)).toMatchInlineSnapshot(`
      [
        "~ team plume-forecast share: 0.6 -> 0.5",
        "~ team ridge-estimates tokenDigests: [790423fa…] -> [ffffffff…]",
        "- sampler rollout-1",
        "~ job ridge-train priority: 4 -> 9",
        "+ job night-train",
        "~ limits interactiveWaitMs: 150 -> 50",
      ]
    `);
    expect(diffManifests(before, before)).toEqual([]);
    expect(diffManifests(undefined, before)).toHaveLength(18);
});
