import { createCursorCodec } from "@auburnarch/deliver/createCursorCodec";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { buildCheckpoint } from "./buildCheckpoint.js";
import type { Checkpoint } from "./Checkpoint.js";
import { claimWithRetries } from "./claimWithRetries.js";
import { createAuthority } from "./createAuthority.js";
import { createCheckpointer } from "./createCheckpointer.js";
import { createGroupKeeper } from "./createGroupKeeper.js";
import { createIntent } from "./createIntent.js";
import { createJobState } from "./createJobState.js";
import { createJobStore } from "./createJobStore.js";
import { createNotifier } from "./createNotifier.js";
import { createPipe } from "./createPipe.js";
import { createReader } from "./createReader.js";
import { createRunningCounts } from "./createRunningCounts.js";
import { createStepBook } from "./createStepBook.js";
import { createWeightsTaker } from "./createWeightsTaker.js";
import { defaultOwnerGuards } from "./defaultOwnerGuards.js";
import { defaultOwnerParts } from "./defaultOwnerParts.js";
import { describeOwner } from "./describeOwner.js";
import type { Owner } from "./Owner.js";
import type { OwnerDeps } from "./OwnerDeps.js";
import type { OwnerParts } from "./OwnerParts.js";
import { takeUpSteps } from "./takeUpSteps.js";

/** A read that ends a step, or a graceful stop, waits this long for the checkpoint to be durable. */
const flushWaitMs = 1_000;

/**
 * Makes the owner of one job under its lease's fencing number. It first claims the job's durable state, so that an
 * older owner can change it no more, then takes up the open steps with the groups that were kept of them. Rejects
 * with `fenced` if a newer owner has claimed the state, or the last store error once the lease is past its time.
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
    const endings: (() => void)[] = [];
    const ended = new AbortController();

    const authority = createAuthority({
        lease,
        store: deps.store,
        clock,
        logger,
        guards,
        onStopped: () => endings.forEach(end => end()),
        onMayRunAgain: notifier.notify,
    });
    const jobStore = createJobStore({
        store: deps.store,
        job: deps.job.job,
        fencing,
        guards,
        noteFencing: authority.noteFencing,
    });
    const claimed = await claimWithRetries({ jobStore, lease, clock, random, logger }).catch(
        (error: unknown) => {
            authority.close();
            throw error;
        },
    );
    const state = createJobState(deps.job, claimed);

    const runningCounts = createRunningCounts();
    const keeper = createGroupKeeper({ keep: deps.keep, state, fencing, clock, logger });
    const { maker, dispatcher, roller } = createPipe({
        deps,
        parts,
        guards,
        state,
        authority,
        logger,
        onRunning: runningCounts.change,
        onWhole: (step, group) => {
            keeper.save(step, group);
            notifier.notify();
        },
    });

    async function writeCheckpoint(checkpoint: Checkpoint): Promise<void> {
        await jobStore.writeCheckpoint(checkpoint);
        void book.removeOver(checkpoint.completed.map(({ step }) => step));
    }
    const checkpointer = createCheckpointer({
        clock,
        random: random.fork(),
        logger,
        build: () => buildCheckpoint(state, codec, fencing),
        write: writeCheckpoint,
    });
    const book = createStepBook({
        state,
        fencing,
        guards,
        jobStore,
        keeper,
        maker,
        checkpointer,
        logger,
        alreadyRemoved: [...state.completed.keys()].filter(step => !claimed.storedSteps.includes(step)),
    });

    async function flushForAWhile(): Promise<void> {
        if (!authority.isStoreSilent()) {
            await Promise.race([checkpointer.flush(), clock.sleep(flushWaitMs)]);
        }
    }

    const readGroups = createReader({
        state,
        fencing,
        codec,
        authority,
        maker,
        guards,
        invariants,
        clock,
        logger,
        metrics,
        notifier,
        findStep: book.find,
        onAcknowledged: book.acknowledge,
        whenCompleted: flushForAWhile,
    });

    const weightsTaker = createWeightsTaker({ state, guards, invariants, logger, dispatcher, roller, maker });
    const intent = createIntent({ state, authority, jobStore, book, clock, onWeights: weightsTaker.take });

    endings.push(
        () => void dispatcher.stop(),
        roller.stop,
        checkpointer.close,
        notifier.notify,
        () => ended.abort(),
    );

    // The lease may have been lost while the state was claimed, when there was nothing to end yet.
    const stoppedBefore = authority.stoppedBy();
    if (stoppedBefore !== undefined) {
        endings.forEach(end => end());
        throw new ResultError(stoppedBefore, deps.job.job);
    }

    dispatcher.raiseMinVersion(state.publishedVersion, state.bounds().minVersion);
    if (claimed.weights !== undefined) {
        roller.publish(claimed.weights);
    }
    await takeUpSteps({ claimed, state, codec, book });
    logger.info("ownerStarted", { steps: state.steps.size, publishedVersion: state.publishedVersion });

    return {
        openStep: intent.openStep,
        publishWeights: intent.publishWeights,
        readGroups,
        updateJob: job => {
            state.job = job;
            weightsTaker.applyBounds();
        },
        ended: ended.signal,
        status: () => describeOwner(state, fencing, runningCounts.ofStep),
        stop: async () => {
            await flushForAWhile();
            authority.stopForGood(resultCodes.shuttingDown, "stop");
            await dispatcher.stop();
        },
    };
}
