import type { Clock } from "@auburnarch/types/Clock";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createTestCaller } from "./createTestCaller.js";
import { createTestPageChecker } from "./createTestPageChecker.js";
import type { TestTrainerReport } from "./TestTrainerReport.js";
import type { TrainerConnection } from "./TrainerConnection.js";

interface TestTrainerOptions {
    clock: Clock;
    random: Random;
    job: string;
    policy: string;
    groupSize: number;
    maxStalenessVersions: number;
    /** Minimum number of steps to train. */
    steps: number;
    /** Training continues until this returns true; by default it may end at once. */
    mayEnd?: () => boolean;
    /** Number of steps opened ahead of the one being read; 0 by default. */
    openAhead?: number;
    /** Number of versions to publish right after a page, like a trainer that catches up; 0 by default. */
    nextExtraPublishCount?: () => number;
    /** Called before a version is published. */
    onPublish?: (version: number) => void;
    /** Called with each received page. */
    onPage?: (page: GroupsPage) => void;
    groupsPerStep: number;
    maxTokens: number;
    /** Connection for the next call; undefined while no owner is reachable. */
    connect: () => TrainerConnection | undefined;
    /** Probability that a read is repeated with the same cursor. */
    rereadChance: () => number;
    /** Probability that the answer of a call is lost. */
    loseAnswerChance: () => number;
    trainMs: number;
}

interface TestTrainer {
    run(): Promise<void>;
    /** Opens one more step with these prompts after `run`, and reads all its groups. */
    runExtraStep(prompts: readonly string[]): Promise<void>;
    report: TestTrainerReport;
    isFinished(): boolean;
    /** Highest fencing number seen in any answer. */
    highestFencing(): number;
    /** Last version that was acknowledged as published. */
    publishedVersion(): number;
}

const readWaitMs = 2_000;

/**
 * Creates a trainer that follows the trainer protocol and checks all it receives against its own records. It accepts
 * a page only if its fencing number is not lower than any seen before, reads once more after the last groups, and
 * presents the last cursor of each finished step again to an owner with a higher fencing number.
 */
export function createTestTrainer(options: TestTrainerOptions): TestTrainer {
    const { clock, random } = options;
    const report: TestTrainerReport = {
        receivedGroups: new Map(),
        problems: [],
        stepsDone: 0,
        engineMs: 0,
        retries: 0,
        droppedPages: 0,
    };
    const pageChecker = createTestPageChecker(options, report);
    const finished = new Map<number, string>();
    const extraPrompts = new Map<number, readonly string[]>();
    let published = 0;
    let opened = 0;
    let isFinished = false;

    const promptsOf = (step: number): readonly string[] =>
        extraPrompts.get(step)
            ?? Array.from({ length: options.groupsPerStep }, (_, group) => `prompt ${step}.${group}`);

    const specOf = (step: number): StepSpec => ({
        step: step as StepNumber,
        prompts: promptsOf(step).map(prompt => ({ prompt, maxTokens: options.maxTokens })),
        needAtMs: undefined,
    });

    const weightsOf = (version: number): Parameters<TrainerConnection["publishWeights"]>[0] => ({
        policy: options.policy as PolicyId,
        version: version as WeightVersion,
        location: `${options.policy}/${version}`,
    });

    const caller = createTestCaller(options, report);
    const { callUntilAnswered } = caller;

    /** Publishes several versions in quick succession; a late repeat of the first must not make it current again. */
    async function publishExtra(count: number): Promise<void> {
        const first = published + 1;
        for (let extra = 0; extra < count; extra++) {
            await publish(published + 1);
        }
        if (count > 1) {
            const connection = options.connect();
            void connection?.publishWeights(weightsOf(first)).catch(() => undefined);
        }
    }

    const open = (step: number): Promise<unknown> => callUntilAnswered(route => route.openStep(specOf(step)));

    async function publish(version: number): Promise<void> {
        options.onPublish?.(version);
        await callUntilAnswered(route => route.publishWeights(weightsOf(version)));
        published = version;
    }

    async function readPage(step: number, cursor: string | undefined): Promise<GroupsPage | undefined> {
        const page = await callUntilAnswered(
            route => route.readGroups(step as StepNumber, cursor, readWaitMs),
            code => {
                if (code === "cursorInvalid") {
                    report.problems.push(`ownCursorRefused ${step}`);
                }
                return code === "unknownStep" ? "reopen" as const : undefined;
            },
        );
        if (page === "reopen") {
            await open(step);
            return undefined;
        }
        return page;
    }

    async function readStep(step: number): Promise<void> {
        let cursor: string | undefined;
        for (;;) {
            const publishedAtRead = published;
            let page = await readPage(step, cursor);
            if (page !== undefined && random.nextUnit() < options.rereadChance()) {
                const again = await readPage(step, cursor);
                if (again !== undefined) {
                    pageChecker.comparePages(step, page, again, published);
                    page = again;
                }
            }
            if (page !== undefined) {
                pageChecker.recordPage(step, page, publishedAtRead);
                options.onPage?.(page);
                cursor = page.cursor;
                finished.set(step, cursor);
            }
            if (page?.done === true) {
                return;
            }
            await publishExtra(options.nextExtraPublishCount?.() ?? 0);
        }
    }

    /** Presents the cursors of finished steps to an owner that may not know them. */
    async function presentFinishedCursors(): Promise<void> {
        for (const [step, cursor] of [...finished]) {
            await readPage(step, cursor);
        }
    }

    async function run(): Promise<void> {
        await publish(1);
        let presentedTo = caller.highestFencing();
        const mayEnd = options.mayEnd ?? (() => true);
        for (let step = 0; step < options.steps || !mayEnd(); step++) {
            for (; opened <= step + (options.openAhead ?? 0); opened++) {
                await open(opened);
            }
            await readStep(step);
            report.stepsDone++;
            await clock.sleep(options.trainMs);
            await publish(published + 1);
            while (presentedTo !== caller.highestFencing()) {
                presentedTo = caller.highestFencing();
                await presentFinishedCursors();
            }
        }
        isFinished = true;
    }

    async function runExtraStep(prompts: readonly string[]): Promise<void> {
        const step = opened++;
        extraPrompts.set(step, prompts);
        await open(step);
        await readStep(step);
    }

    return {
        run,
        runExtraStep,
        report,
        isFinished: () => isFinished,
        highestFencing: caller.highestFencing,
        publishedVersion: () => published,
    };
}
