import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { createStopController } from "@auburnarch/clock/createStopController";
import { codeOf } from "@auburnarch/errors/codeOf";
import { restoreTexts } from "../copies/restoreTexts.js";
import { createOpenItems } from "../items/createOpenItems.js";
import { stepDueMs } from "../items/stepDueMs.js";
import { createGroupNeed } from "../results/createGroupNeed.js";
import { createRecorder } from "../results/createRecorder.js";
import type { BatchJobRun } from "./BatchJobRun.js";
import type { BatchJobRunDeps } from "./BatchJobRunDeps.js";

const retryMs = 200;
/** A body precedes its entry, so it is missing only after an interrupted deletion, and is not expected to appear. */
const missingBodyRetryMs = 5_000;
/** Clocks of VMs differ by a few seconds at most; an item should expire late rather than early. */
const clockSlackMs = 5_000;
/** An item may expire later than its limit by this much. */
const expiryCheckMs = 500;

/**
 * Starts the run of a batch job: reads it, submits the items that have no result yet, and records results as they
 * complete.
 */
export function createBatchJobRun(deps: BatchJobRunDeps): BatchJobRun {
    const { batchJobId, entry, batchJobStore, resultCache, clock, logger } = deps;
    const stopped = createStopController();
    const recorder = createRecorder({
        ...deps,
        total: entry.total,
        onRecorded: item => items.close(item),
        onChunk: (number, chunk) => resultCache.addChunk(batchJobId, number, chunk),
    });
    const items = createOpenItems(deps, recorder, stopped.signal);
    const collecting = deps.collectTexts?.(batchJobId);
    let cancelExpiry = (): void => {};

    /** Repeated, since the limit follows the configuration in force. */
    function checkExpiry(): void {
        items.terminateExpired(clock.wallMs() - entry.submittedAtMs - clockSlackMs);
        cancelExpiry = clock.startTimer(expiryCheckMs, checkExpiry);
    }

    function run(batchJob: BatchJob): void {
        const { runs, resumed } = items.start(batchJob);
        checkExpiry();
        logger.info("lotStarted", {
            lot: batchJobId,
            policy: batchJob.policy,
            step: batchJob.step,
            minVersion: batchJob.minVersion,
            items: batchJob.items.length,
            recorded: recorder.recorded(),
            runs,
            resumed,
            ageMs: Math.round(clock.wallMs() - entry.submittedAtMs),
        });
    }

    async function tryStart(): Promise<boolean> {
        const batchJob = await batchJobStore.readBatchJob(batchJobId);
        if (batchJob === undefined) {
            logger.warn("lotBodyMissing", { lot: batchJobId });
            return false;
        }
        deps.seenGroups.record(batchJob);
        const need = createGroupNeed(batchJob, group => deps.seenGroups.isResubmitted(batchJobId, group));
        const ageMs = clock.wallMs() - entry.submittedAtMs;
        const dueMs = deps.findRoute(batchJob.host, batchJob.path)?.deadlineMs ?? stepDueMs;
        recorder.setNeed(need, clock.monotonicMs() + dueMs - ageMs);
        await recorder.load();
        resultCache.markLoaded(batchJobId);
        const found = await collecting;
        if (!stopped.signal.aborted) {
            if (found !== undefined) {
                restoreTexts({ ...deps, batchJob, found, isRecorded: recorder.isRecorded });
            }
            run(batchJob);
        }
        return true;
    }

    async function start(): Promise<void> {
        while (!stopped.signal.aborted) {
            let delayMs = retryMs;
            try {
                if (await tryStart()) {
                    return;
                }
                delayMs = missingBodyRetryMs;
            }
            catch (error) {
                const { number, name } = codeOf(error);
                logger.warn("lotNotRead", { lot: batchJobId, code: number, name });
            }
            await clock.sleep(delayMs, stopped.signal);
        }
    }

    resultCache.open(batchJobId, entry, recorder.appendingMs);
    void start();
    return {
        isComplete: () => recorder.recorded() >= entry.total,
        saveTexts: items.saveTexts,
        listOpen: items.listOpen,
        findText: items.findText,
        stop: async isHandedOver => {
            cancelExpiry();
            items.withdrawAll();
            if (isHandedOver) {
                recorder.flush();
                await recorder.drained();
            }
            stopped.abort();
            recorder.stop();
            items.discardAll();
            resultCache.close(batchJobId);
            const recorded = recorder.recorded();
            logger.info("lotStopped", { lot: batchJobId, recorded, total: entry.total, isHandedOver });
        },
    };
}
