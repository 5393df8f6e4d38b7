import { codeOf } from "@auburnarch/errors/codeOf";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { createGroupChecker } from "./createGroupChecker.js";
import type { createRetry } from "./createRetry.js";
import type { FakeTrainerOptions } from "./FakeTrainerOptions.js";
import type { TrainerReport } from "./TrainerReport.js";

interface StepReaderDeps {
    options: FakeTrainerOptions;
    report: TrainerReport;
    groupChecker: ReturnType<typeof createGroupChecker>;
    retry: ReturnType<typeof createRetry>;
    retryMs: number;
}

interface StepReader {
    /** Reads a step until it is complete; resolves with the last cursor. */
    readStep(spec: StepSpec, signal: AbortSignal): Promise<string | undefined>;
    /** Sends the last cursor, which acknowledges the last page to the owner. */
    acknowledge(spec: StepSpec, cursor: string | undefined, signal: AbortSignal): Promise<void>;
}

/** Creates the reader of a fake trainer, which loses answers and repeats reads as set in the trainer's options. */
export function createStepReader(deps: StepReaderDeps): StepReader {
    const { options, report, groupChecker, retry } = deps;
    const { clock, random, port, readWaitMs = 1_000, loseAnswerChance = 0, rereadChance = 0 } = options;
    let highestFencing = 0;

    function compare(first: GroupsPage, second: GroupsPage): void {
        const groups = new Map(second.groups.map(group => [group.group, group]));
        const differing = first.groups.filter(group =>
            !groupChecker.isStale(group) && JSON.stringify(groups.get(group.group)) !== JSON.stringify(group)
        );
        report.rereadMismatches += differing.length;
    }

    async function readOnce(
        spec: StepSpec,
        cursor: string | undefined,
        signal: AbortSignal,
    ): Promise<GroupsPage | undefined> {
        const read = (): Promise<GroupsPage> => port.readGroups(spec.step, cursor, readWaitMs);
        const page = await retry(read, signal);
        const isLost = random.nextUnit() < loseAnswerChance;
        const isRepeated = random.nextUnit() < rereadChance;
        if (page === undefined || (!isLost && !isRepeated)) {
            return page;
        }
        const again = await retry(read, signal);
        if (again !== undefined && isRepeated && again.fencing === page.fencing) {
            compare(page, again);
        }
        return again;
    }

    async function acknowledge(
        spec: StepSpec,
        cursor: string | undefined,
        signal: AbortSignal,
    ): Promise<void> {
        const page = await retry(async () => {
            try {
                return await port.readGroups(spec.step, cursor, 0);
            }
            catch (error) {
                // The owner has already closed the step, so there is nothing left to acknowledge.
                if (codeOf(error).name === "unknownStep") {
                    return undefined;
                }
                throw error;
            }
        }, signal);
        if (page !== undefined && page.fencing >= highestFencing) {
            groupChecker.checkGroups(spec, page);
        }
    }

    async function readStep(spec: StepSpec, signal: AbortSignal): Promise<string | undefined> {
        let cursor: string | undefined;
        let done = false;
        while (!done && !signal.aborted) {
            const page = await readOnce(spec, cursor, signal);
            if (page === undefined) {
                return cursor;
            }
            if (page.fencing < highestFencing) {
                report.fencedPages++;
                await clock.sleep(deps.retryMs, signal);
                continue;
            }
            highestFencing = page.fencing;
            groupChecker.checkGroups(spec, page);
            cursor = page.cursor;
            done = page.done;
        }
        return cursor;
    }

    return { readStep, acknowledge };
}
