import type { PromiseChecker } from "./PromiseChecker.js";
import type { SoakTestBed } from "./SoakTestBed.js";
import type { StepRecord } from "./StepRecord.js";

interface PageResult {
    id: string;
    state: string;
    output: string;
    versions: number[];
    score: string;
}

/** Every gateway must return a position that was first read longer ago than this. */
const settleMs = 1_000;

const expectedText = (item: string, events: number): string =>
    Array.from({ length: events }, (_, index) => `${item}-${index + 1}`).join("\n");

const runsOf = (bed: SoakTestBed, item: string) =>
    bed.samplers.flatMap(sampler => sampler.runs().filter(run => run.id === item));

/** Checks one page of results against everything read of the job so far, and against the samplers' records. */
export function checkPage(
    bed: SoakTestBed,
    checker: PromiseChecker,
    step: StepRecord,
    after: number,
    body: string,
    nowMs: number,
): { next: number; } {
    const page = JSON.parse(body) as { total: number; next: number; results: PageResult[]; };
    checker.check(page.total === step.items.length, "total is right", { lot: step.lot, total: page.total });
    const known = step.positions.get(after);
    const isDue = known !== undefined && nowMs - known.readAtMs > settleMs;
    checker.check(!isDue || page.results.length > 0, "a position stays", { lot: step.lot, after });
    page.results.forEach((result, index) => checkResult(after + index, result));
    return { next: page.next };

    function checkResult(position: number, result: PageResult): void {
        const text = JSON.stringify(result);
        const before = step.positions.get(position);
        checker.check(before === undefined || before.result === text, "a position never changes", {
            lot: step.lot,
            position,
            before: before?.result,
            text,
        });
        const isListedTwice = [...step.positions].some(([at, each]) =>
            at !== position && (JSON.parse(each.result) as PageResult).id === result.id
        );
        checker.check(!isListedTwice, "an item is listed once", { lot: step.lot, item: result.id, position });
        checker.check(step.items.includes(result.id), "an item is of its job", { lot: step.lot, result });
        if (before === undefined) {
            step.positions.set(position, { result: text, readAtMs: nowMs });
            checkContent(result);
        }
    }

    function checkContent(result: PageResult): void {
        const detail = { lot: step.lot, minVersion: step.minVersion, result };
        if (result.state !== "completed") {
            checker.check(step.isEndRequested, "an item is given up only for a reason", detail);
            return;
        }
        const events = result.output.split("\n").length;
        checker.check(
            result.output === expectedText(result.id, events),
            "a text is whole and in order",
            detail,
        );
        checker.check(events === bed.eventsPerItem, "a text ends with its last event", detail);
        const runVersions = new Set(runsOf(bed, result.id).map(run => run.version));
        const isNamed = result.versions.length > 0
            && result.versions.every(version => runVersions.has(version));
        checker.check(isNamed, "versions are those that made the text", detail);
        const isFresh = result.versions.every(version => version >= step.minVersion);
        checker.check(isFresh, "no version is older than the bound", detail);
        const isScored = result.score === `proof of score-${result.id}`;
        checker.check(isScored, "the score is the scoring service's", detail);
    }
}
