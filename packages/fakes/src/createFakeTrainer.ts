import { codeOf } from "@auburnarch/errors/codeOf";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createGroupChecker } from "./createGroupChecker.js";
import { createRetry } from "./createRetry.js";
import { createStepReader } from "./createStepReader.js";
import type { FakeTrainerOptions } from "./FakeTrainerOptions.js";
import type { TrainerReport } from "./TrainerReport.js";

interface FakeTrainer {
    /** Trains on all steps; resolves early if `signal` is aborted. */
    run(signal: AbortSignal): Promise<TrainerReport>;
    /** Returns the counts so far. */
    report(): TrainerReport;
}

const newReport = (): TrainerReport => ({
    stepsDone: 0,
    delivered: 0,
    missing: 0,
    duplicates: 0,
    brokenGroups: 0,
    staleViolations: 0,
    stalenessMaxVersions: 0,
    stalenessVersions: [],
    stalenessMs: [],
    rereadMismatches: 0,
    fencedPages: 0,
    retries: {},
    idleMs: 0,
    trainedMs: 0,
    stepMs: [],
});

/** Creates a trainer that opens steps ahead, reads groups by cursor, checks them, trains and publishes a version. */
export function createFakeTrainer(options: FakeTrainerOptions): FakeTrainer {
    const { clock, port, policy, openSteps = 2, trainMs = 1_000, retryMs = 200 } = options;
    const { firstVersion = 1 } = options;
    const report = newReport();
    const publishedAtMs = new Map<number, number>();
    const openedAtMs = new Map<number, number>();
    let published = firstVersion - 1;
    let opened = 0;

    const groupChecker = createGroupChecker({
        groupSize: options.groupSize,
        maxStalenessVersions: options.maxStalenessVersions,
        report,
        publishedVersion: () => published,
        replacedForMs: version => {
            const replacedAtMs = publishedAtMs.get(version + 1);
            return replacedAtMs === undefined ? 0 : clock.monotonicMs() - replacedAtMs;
        },
        isExpectedText: options.isExpectedText ?? (() => true),
    });
    const retry = createRetry(clock, retryMs, report);
    const reader = createStepReader({ options, report, groupChecker, retry, retryMs });

    async function publish(version: number, signal: AbortSignal): Promise<void> {
        const weights = { policy, version: version as WeightVersion, location: `${policy}/${version}` };
        // A retry after a lost answer is refused with `versionNotHigher`, because the version is already published.
        await retry(() =>
            port.publishWeights(weights).catch((error: unknown) => {
                if (codeOf(error).name !== "versionNotHigher") {
                    throw error;
                }
            }), signal);
        published = version;
        publishedAtMs.set(version, clock.monotonicMs());
    }

    async function openAhead(current: number, signal: AbortSignal): Promise<void> {
        const end = Math.min(options.steps, current + openSteps);
        while (opened < end && !signal.aborted) {
            const spec = options.specOf(opened as StepNumber);
            openedAtMs.set(opened, clock.monotonicMs());
            await retry(() => port.openStep(spec), signal);
            opened++;
        }
    }

    async function trainStep(step: number, signal: AbortSignal): Promise<void> {
        await openAhead(step, signal);
        const spec = options.specOf(step as StepNumber);
        const waitStartedAtMs = clock.monotonicMs();
        const cursor = await reader.readStep(spec, signal);
        report.idleMs += clock.monotonicMs() - waitStartedAtMs;
        if (signal.aborted) {
            return;
        }
        groupChecker.recordMissing(spec);
        report.stepMs.push(clock.monotonicMs() - openedAtMs.get(step)!);
        options.onStep?.(spec.step);
        await Promise.all([clock.sleep(trainMs, signal), reader.acknowledge(spec, cursor, signal)]);
        report.trainedMs += trainMs;
        await publish(published + 1, signal);
        report.stepsDone++;
    }

    return {
        run: async signal => {
            await publish(firstVersion, signal);
            for (let step = 0; step < options.steps && !signal.aborted; step++) {
                await trainStep(step, signal);
            }
            return report;
        },
        report: () => report,
    };
}
