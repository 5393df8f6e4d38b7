import { createCursorCodec } from "@auburnarch/cursors/createCursorCodec";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { buildCheckpoint } from "./buildCheckpoint.js";
import type { Checkpoint } from "./Checkpoint.js";
import { claimWithRetries } from "./claimWithRetries.js";
import { createAuthority } from "./createAuthority.js";
import { createCheckpointer } from "./createCheckpointer.js";
import { createGroupBackup } from "./createGroupBackup.js";
import { createGroupReader } from "./createGroupReader.js";
import { createIntentWriter } from "./createIntentWriter.js";
import { createJobState } from "./createJobState.js";
import { createJobStore } from "./createJobStore.js";
import { createNotifier } from "./createNotifier.js";
import { createRunningCounts } from "./createRunningCounts.js";
import { createSamplePipeline } from "./createSamplePipeline.js";
import { createStepRegistry } from "./createStepRegistry.js";
import { createWeightUpdater } from "./createWeightUpdater.js";
import { defaultOwnerGuards } from "./defaultOwnerGuards.js";
import { defaultOwnerParts } from "./defaultOwnerParts.js";
import { describeOwner } from "./describeOwner.js";
import type { Owner } from "./Owner.js";
import type { OwnerDeps } from "./OwnerDeps.js";
import type { OwnerParts } from "./OwnerParts.js";
import { resumeSteps } from "./resumeSteps.js";

/** Longest that the last read of a step, or a graceful stop, waits for a durable checkpoint. */
const flushTimeoutMs = 1_000;

/**
 * Creates the owner of one job under its lease's fencing number. It first claims the job's durable state, so that
 * older owners can no longer change it, then resumes the open steps with their stored groups. Rejects with `fenced`
 * if a newer owner has claimed the state, or with the last store error once the lease has expired.
 */
export async function createOwner(
    deps: OwnerDeps,
    guards = defaultOwnerGuards,
    parts: OwnerParts = defaultOwnerParts,
): Promise<Owner> {
    const { clock, random, metrics, invariants, lease } = deps;
    const { fencing } = lease;
    const logger = deps.logger.child({ job: deps.job.job, fencing });
    const codec = createCursorCodec(deps.cursorKey, guards.isGenuineCursor);
    const notifier = createNotifier(clock);
    const stopHandlers: (() => void)[] = [];
    const ended = new AbortController();

    const authority = createAuthority({
        lease,
        store: deps.store,
        clock,
        logger,
        guards,
        onStopped: () => stopHandlers.forEach(end => end()),
        onMayRunAgain: notifier.notify,
    });
    const jobStore = createJobStore({
        store: deps.store,
        job: deps.job.job,
        fencing,
        guards,
        checkFencing: authority.checkFencing,
    });
    const claimed = await claimWithRetries({ jobStore, lease, clock, random, logger }).catch(
        (error: unknown) => {
            authority.close();
            throw error;
        },
    );
    const state = createJobState(deps.job, claimed);

    const runningCounts = createRunningCounts();
    const groupBackup = createGroupBackup({ groupStore: deps.groupStore, state, fencing, clock, logger });
    const { producer, dispatcher, roller } = createSamplePipeline({
        deps,
        parts,
        guards,
        state,
        authority,
        logger,
        onRunning: runningCounts.change,
        onGroupComplete: (step, group) => {
            groupBackup.save(step, group);
            notifier.notify();
        },
    });

    async function writeCheckpoint(checkpoint: Checkpoint): Promise<void> {
        await jobStore.writeCheckpoint(checkpoint);
        void steps.removeFinished(checkpoint.completed.map(({ step }) => step));
    }
    const checkpointer = createCheckpointer({
        clock,
        random: random.fork(),
        logger,
        build: () => buildCheckpoint(state, codec, fencing),
        write: writeCheckpoint,
    });
    const steps = createStepRegistry({
        state,
        fencing,
        guards,
        jobStore,
        groupBackup,
        producer,
        checkpointer,
        logger,
        alreadyRemoved: [...state.completed.keys()].filter(step => !claimed.storedSteps.includes(step)),
    });

    async function flushWithTimeout(): Promise<void> {
        if (!authority.isStoreUnreachable()) {
            await Promise.race([checkpointer.flush(), clock.sleep(flushTimeoutMs)]);
        }
    }

    const readGroups = createGroupReader({
        state,
        fencing,
        codec,
        authority,
        producer,
        guards,
        invariants,
        clock,
        logger,
        metrics,
        notifier,
        findStep: steps.find,
        onAcknowledged: steps.acknowledge,
        flushCheckpoint: flushWithTimeout,
    });

    const updater = createWeightUpdater({ state, guards, invariants, logger, dispatcher, roller, producer });
    const intent = createIntentWriter({ state, authority, jobStore, steps, clock, onWeights: updater.apply });

    stopHandlers.push(
        () => void dispatcher.stop(),
        roller.stop,
        checkpointer.close,
        notifier.notify,
        () => ended.abort(),
    );

    // The lease may have been lost during the claim, before the stop handlers were registered.
    const stopCode = authority.stopCode();
    if (stopCode !== undefined) {
        stopHandlers.forEach(end => end());
        throw new ResultError(stopCode, deps.job.job);
    }

    dispatcher.raiseMinVersion(state.publishedVersion, state.bounds().minVersion);
    if (claimed.weights !== undefined) {
        roller.publish(claimed.weights);
    }
    await resumeSteps({ claimed, state, codec, steps });
    logger.info("ownerStarted", { steps: state.steps.size, publishedVersion: state.publishedVersion });

    return {
        openStep: intent.openStep,
        publishWeights: intent.publishWeights,
        readGroups,
        updateJob: job => {
            state.job = job;
            updater.applyBounds();
        },
        ended: ended.signal,
        status: () => describeOwner(state, fencing, runningCounts.ofStep),
        stop: async () => {
            await flushWithTimeout();
            authority.stopPermanently(resultCodes.shuttingDown, "stop");
            await dispatcher.stop();
        },
    };
}
