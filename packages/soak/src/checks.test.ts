import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import { checkCrashInducing } from "./checkCrashInducing.js";
import { checkDepartedSamplers } from "./checkDepartedSamplers.js";
import { checkFinalState } from "./checkFinalState.js";
import { checkPage } from "./checkPage.js";
import { checkSettings } from "./checkSettings.js";
import { checkTeams } from "./checkTeams.js";
import { createPromiseChecker } from "./createPromiseChecker.js";
import { drawFaults } from "./drawFaults.js";
import { drawSettingsChanges } from "./drawSettingsChanges.js";
import type { FaultInterval } from "./FaultInterval.js";
import type { LinkUse } from "./LinkUse.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";
import type { StepRecord } from "./StepRecord.js";

type Sampler = SoakTestBed["samplers"][number];

const run = (id: string, atMs = 0, version = 2) => ({ id, after: 0, version, atMs });
const order = (holder: string, atMs: number) => ({ model: "m", version: 2, holder, fence: 1, atMs });

function bedOf(runs: ReturnType<Sampler["runs"]>, overrides: Partial<SoakTestBed> = {}): SoakTestBed {
    const sampler = { id: "s-1", runs: () => runs, orders: () => [] as ReturnType<Sampler["orders"]> };
    return { eventsPerItem: 2, samplers: [sampler], programs: [], ...overrides } as unknown as SoakTestBed;
}

const stepOf = (overrides: Partial<StepRecord> = {}): StepRecord => ({
    lot: "l",
    model: "m",
    minVersion: 2,
    items: ["a", "b"],
    submissions: [202],
    isAccepted: true,
    positions: new Map(),
    endedAtMs: undefined,
    isEndRequested: false,
    ...overrides,
});
const result = (id: string, overrides: Record<string, unknown> = {}) => ({
    id,
    state: "completed",
    output: `${id}-1\n${id}-2`,
    versions: [2],
    score: `proof of score-${id}`,
    ...overrides,
});

/** Returns the promises broken by the pages of a job, read in sequence from the given positions. */
function breachesOf(
    pages: { after: number; results: unknown[]; atMs?: number; }[],
    runs = [run("a"), run("b")],
): string[] {
    const checker = createPromiseChecker(createFakeClock());
    const step = stepOf();
    for (const { after, results, atMs = 0 } of pages) {
        const body = JSON.stringify({ total: 2, next: after + results.length, results });
        checkPage(bedOf(runs), checker, step, after, body, atMs);
    }
    return checker.breaches().map(breach => breach.promise);
}

test("checkPage accepts a correct page and names each broken promise", () => {
    const whole = [result("a"), result("b")];
    expect({
        good: breachesOf([{ after: 0, results: whole }, { after: 0, results: whole, atMs: 5_000 }]),
        changed: breachesOf([{ after: 0, results: [result("a")] }, { after: 0, results: [result("b")] }]),
        twice: breachesOf([{ after: 0, results: [result("a"), result("a")] }]),
        missing: breachesOf([{ after: 0, results: whole }, { after: 1, results: [], atMs: 1_500 }]),
        foreign: breachesOf([{ after: 0, results: [result("z")] }], [run("z")]),
        cut: breachesOf([{ after: 0, results: [result("a", { output: "a-1" })] }]),
        joined: breachesOf([{ after: 0, results: [result("a", { output: "a-2\na-1" })] }]),
        stale: breachesOf([{ after: 0, results: [result("a", { versions: [1] })] }], [run("a", 0, 1)]),
        misnamed: breachesOf([{ after: 0, results: [result("a", { versions: [7] })] }]),
        unscored: breachesOf([{ after: 0, results: [result("a", { score: "" })] }]),
        givenUp: breachesOf([{ after: 0, results: [result("a", { state: "terminated" })] }]),
    }).toEqual({
        good: [],
        changed: ["a position never changes"],
        twice: ["an item is listed once"],
        missing: ["a position stays"],
        foreign: ["an item is of its job"],
        cut: ["a text ends with its last event"],
        joined: ["a text is whole and in order"],
        stale: ["no version is older than the bound"],
        misnamed: ["versions are those that made the text"],
        unscored: ["the score is the scoring service's"],
        givenUp: ["an item is given up only for a reason"],
    });
});

function finalStateBreaches(bed: SoakTestBed, steps: StepRecord[] = [], status = 200): string[] {
    const checker = createPromiseChecker(createFakeClock());
    checkFinalState(bed, checker, steps, [{ requestId: "q", isRepeatable: false, status }]);
    return checker.breaches().map(breach => breach.promise);
}

test("checkFinalState names each broken promise", () => {
    const orders = [order("r1", 0), order("r2", 1_000)];
    const sampler = { id: "s-1", runs: () => [], orders: () => orders } as unknown as Sampler;
    const program = { lines: () => ["event=promiseBroken"], unexpectedExits: () => ["front-1: 1"] };
    expect({
        good: finalStateBreaches(bedOf([run("q")])),
        twice: finalStateBreaches(bedOf([run("q"), run("q")])),
        ranThough: finalStateBreaches(bedOf([run("q")]), [], 503),
        refusedRan: finalStateBreaches(bedOf([run("a")]), [
            stepOf({ isAccepted: false, submissions: [503, 429] }),
        ]),
        unknownRan: finalStateBreaches(bedOf([run("a")]), [
            stepOf({ isAccepted: false, submissions: [503, 502] }),
        ]),
        endedRan: finalStateBreaches(bedOf([run("a", 9_000)]), [stepOf({ endedAtMs: 500 })]),
        twoHolders: finalStateBreaches(bedOf([], { samplers: [sampler] })),
        process: finalStateBreaches(bedOf([], { programs: [program] as unknown as SoakTestBed["programs"] })),
    }).toEqual({
        good: [],
        twice: ["it runs once at most"],
        ranThough: ["what was refused did not run"],
        refusedRan: ["a refused job does not run"],
        unknownRan: [],
        endedRan: ["an ended job does not run"],
        twoHolders: ["orders come from one holder"],
        process: ["no assertion of the program failed", "no process ends by itself"],
    });
});

test("a late request to a sampler that left is a breach unless its sender may have been cut off from the store", () => {
    const breaches = (atMs: number, faultIntervals: FaultInterval[]): number => {
        const checker = createPromiseChecker(createFakeClock());
        checkDepartedSamplers(
            { ...bedOf([run("q", atMs)]), leftAtMs: new Map([["s-1", 1_000]]) },
            checker,
            faultIntervals,
        );
        return checker.breaches().length;
    };
    const storeUnreachable: FaultInterval = { kind: "storeLink", fromMs: 500, untilMs: 4_000 };
    expect({
        due: breaches(2_900, []),
        late: breaches(3_100, []),
        cutOff: breaches(3_100, [storeUnreachable]),
        justBack: breaches(6_900, [storeUnreachable]),
        inTouch: breaches(7_100, [storeUnreachable]),
        harmless: breaches(3_100, [{ ...storeUnreachable, kind: "samplerLink" }]),
    }).toEqual({ due: 0, late: 1, cutOff: 0, justBack: 0, inTouch: 1, harmless: 1 });
});

/** Returns the promises broken by a program that ran in `running`, if its file names link 1 from 10 s on. */
function settingsBreaches(
    uses: [number[], number[]],
    running: [number, number][] = [[0, Infinity]],
    changes: [number, number][] = [[0, 0], [10_000, 1]],
): string[] {
    const checker = createPromiseChecker(createFakeClock());
    const program = {
        name: "front-1",
        runningSpans: () => running.map(([fromMs, untilMs]) => ({ fromMs, untilMs })),
        settingsChanges: () =>
            changes.map(([atMs, storeLink]) => ({ beganAtMs: atMs, writtenAtMs: atMs + 5, storeLink })),
    };
    const links = uses.map(times => ({
        uses: () => times.map((atMs): LinkUse => ({ atMs, kind: "bytes" })),
    }));
    checkSettings(program, links, checker, 20_000);
    return checker.breaches().map(breach => breach.promise);
}

test("a program must use the store that its settings file names within 5 s of a change or its start", () => {
    const moved: [number[], number[]] = [[100, 9_000, 14_900], [11_000, 19_000]];
    const stays: [number[], number[]] = [[100, 11_000, 15_100], []];
    const both: [number[], number[]] = [[100, 15_100], [11_000]];
    const restart: [number, number][] = [[0, 9_000], [12_000, Infinity]];
    const back: [number, number][] = [[0, 0], [10_000, 1], [13_000, 0]];
    expect({
        moved: settingsBreaches(moved),
        stays: settingsBreaches(stays),
        both: settingsBreaches(both),
        neither: settingsBreaches([[100], []]),
        early: settingsBreaches([[100], [9_000, 11_000]]),
        startedAgain: settingsBreaches([[100, 16_900], [16_900]], restart),
        startedAgainSlowly: settingsBreaches([[100], [18_000]], restart),
        startedAgainOnly: settingsBreaches([[100], []], restart),
        startedAgainUnused: settingsBreaches([[100, 14_000], [19_100]], restart),
        startedAgainStays: settingsBreaches([[100, 17_100], [17_000]], restart),
        paused: settingsBreaches([[100, 16_000], [16_000]], [[0, 10_100], [14_000, Infinity]]),
        changedBack: settingsBreaches([[100, 15_000, 19_000], []], undefined, back),
    }).toMatchInlineSnapshot(`
      {
        "both": [
          "no store is used that the settings no longer name",
        ],
        "changedBack": [],
        "early": [
          "no store is used that the settings no longer name",
        ],
        "moved": [],
        "neither": [
          "the store that the settings name is used",
        ],
        "paused": [],
        "startedAgain": [],
        "startedAgainOnly": [
          "the store that the settings name is used",
        ],
        "startedAgainSlowly": [],
        "startedAgainStays": [
          "no store is used that the settings no longer name",
        ],
        "startedAgainUnused": [
          "the store that the settings name is used",
        ],
        "stays": [
          "no store is used that the settings no longer name",
          "the store that the settings name is used",
        ],
      }
    `);
});

test("changes of settings are drawn in every way, and a seed always draws the same", () => {
    const draw = (seed: number) =>
        drawSettingsChanges(createRandom(seed), { processes: 5, lengthMs: 12_000, series: 4 });
    expect(draw(7)).toEqual(draw(7));
    const drawn = Array.from({ length: 40 }, (_, seed) => draw(seed)).flat().map(({ fault }) => fault);
    const changes = drawn.flatMap(fault => fault.kind === "changeSettings" ? fault.changes : []);
    const ways = new Set(
        changes.map(({ isReplaced, isSignalled }) =>
            `${isReplaced ? "replaced" : "in place"}, ${isSignalled ? "signal" : "no signal"}`
        ),
    );
    expect({ kinds: [...new Set(drawn.map(({ kind }) => kind))].sort(), ways: [...ways].sort() })
        .toMatchInlineSnapshot(`
          {
            "kinds": [
              "changeSettings",
              "kill",
              "terminate",
            ],
            "ways": [
              "in place, no signal",
              "in place, signal",
              "replaced, no signal",
              "replaced, signal",
            ],
          }
        `);
});

test("a seed always draws the same faults, and a range of seeds draws every kind", () => {
    const options = { processes: 5, samplers: 7, lengthMs: 12_000, faults: 10 };
    const draw = (seed: number) => drawFaults(createRandom(seed), options);
    expect(draw(7)).toEqual(draw(7));
    const kinds = new Set(
        Array.from({ length: 40 }, (_, seed) => draw(seed)).flat().map(each => each.fault.kind),
    );
    expect([...kinds].sort()).toEqual([
        "breakStreams",
        "changeConfiguration",
        "kill",
        "killAll",
        "pause",
        "reload",
        "replaceSampler",
        "samplerLink",
        "storeHistory",
        "storeLink",
        "storeMode",
        "terminate",
    ]);
});

test("checkTeams reports a missing team, a forwarded or logged key, and a window with different counts", () => {
    const breachesOf = (
        received: { team?: string; credential?: string; },
        counts: Record<string, number>[],
        line = "event=started",
    ): string[] => {
        const checker = createPromiseChecker(createFakeClock());
        const runs = [{ id: "item-1", after: 0, version: 1, atMs: 0, ...received }];
        const calls = counts.map(each => ({
            path: "/usage",
            holder: "r",
            fencing: 1,
            window: 7,
            counts: each,
            status: 200,
        }));
        const bed = {
            samplers: [{ runs: () => runs }],
            usageReports: { calls: () => calls },
            programs: [{ name: "r", lines: () => [line] }],
        };
        checkTeams(bed as unknown as SoakTestBed, checker, new Set(["item-1"]));
        return checker.breaches().map(breach => breach.promise);
    };
    const named = { team: soakTeam.name };
    expect({
        fine: breachesOf(named, [{ hule: 2 }, { hule: 2 }]),
        unnamed: breachesOf({}, []),
        key: breachesOf({ ...named, credential: "Bearer x" }, []),
        counts: breachesOf(named, [{ hule: 2 }, { hule: 3 }]),
        line: breachesOf(named, [], `detail=${soakTeam.key}`),
    }).toMatchInlineSnapshot(`
      {
        "counts": [
          "a window is reported with the same counts",
        ],
        "fine": [],
        "key": [
          "a sampler hears no key",
        ],
        "line": [
          "no log line shows a key",
        ],
        "unnamed": [
          "a sampler hears the team of the key",
        ],
      }
    `);
});

test("checkCrashInducing counts retries of undisturbed gateways after the third crash", () => {
    const crashes = ["s-1", "s-2", "s-3"];
    const sends = [0, 1, 2, 3, 4, 5, 6].map(at => ({ requestId: `k${at}`, gateway: "front-1", atMs: 0 }));
    const breaches = (
        retryTimesMs: number[],
        overrides: { statuses?: number[]; runsFromMs?: number; faultIntervals?: FaultInterval[]; } = {},
    ): string[] => {
        const checker = createPromiseChecker(createFakeClock());
        const { statuses = Array.from({ length: 10 }, () => 200), faultIntervals = [], runsFromMs = 0 } =
            overrides;
        const samplers = [
            ...crashes.map((id, at) => ({ id, runs: () => [run(`k${at}`, 5_000)] })),
            { id: "s-4", runs: () => retryTimesMs.map((atMs, at) => run(`k${at + 3}`, atMs)) },
        ];
        const programs = [{
            name: "front-1",
            runningSpans: () => [{ fromMs: runsFromMs, untilMs: Infinity }],
        }];
        const bed = { samplers, programs } as unknown as SoakTestBed;
        checkCrashInducing(bed, checker, { sends, harmlessStatuses: statuses, faultIntervals });
        return checker.breaches().map(breach => breach.promise);
    };
    const cut: FaultInterval = { kind: "storeLink", process: 0, fromMs: 9_000, untilMs: 10_000 };
    expect({
        three: breaches([9_000, 10_000, 11_000]),
        four: breaches([9_000, 10_000, 11_000, 12_000]),
        early: breaches([7_000, 7_500, 11_000, 12_000]),
        justStarted: breaches([9_000, 10_000, 11_000, 12_000], { runsFromMs: 7_000 }),
        cut: breaches([9_000, 10_000, 11_000, 14_000], { faultIntervals: [cut] }),
        otherCut: breaches([9_000, 10_000, 11_000, 14_000], { faultIntervals: [{ ...cut, process: 1 }] }),
        refused: breaches([], { statuses: [200, 200, 200, 200, 503, 503, 503, 503, 503, 503] }),
    }).toMatchSnapshot();
});
