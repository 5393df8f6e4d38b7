import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Logger } from "@auburnarch/types/Logger";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { SwapRoller } from "@auburnarch/weights/SwapRoller";
import type { Authority } from "./Authority.js";
import { createSampleProducer } from "./createSampleProducer.js";
import type { JobState } from "./JobState.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerDeps } from "./OwnerDeps.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import type { OwnerParts } from "./OwnerParts.js";
import type { SampleProducer } from "./SampleProducer.js";
import { watchFencing } from "./watchFencing.js";

interface SamplePipelineDeps {
    deps: OwnerDeps;
    parts: OwnerParts;
    guards: OwnerGuards;
    state: JobState;
    authority: Authority;
    logger: Logger;
    onRunning: (sample: SampleId, change: 1 | -1) => void;
    onGroupComplete: (step: OpenStep, group: SampleGroup) => void;
}

/** The parts of an owner that handle samples and weights. */
interface SamplePipeline {
    producer: SampleProducer;
    dispatcher: Dispatcher;
    roller: SwapRoller;
}

/** Connects dispatcher, swap roller and sample producer. They act only while `authority` permits it. */
export function createSamplePipeline(options: SamplePipelineDeps): SamplePipeline {
    const { deps, parts, guards, state, authority, logger } = options;
    const { clock, random, metrics, limits, listSamplers } = deps;
    const sidecar = (sampler: SamplerId): SidecarPort =>
        watchFencing(deps.sidecar(sampler), {
            onFenced: () => authority.stopPermanently(resultCodes.fenced, "sidecar"),
            onRunning: options.onRunning,
        });
    const roller = parts.createSwapRoller({
        job: state.job.job,
        policy: state.job.policy,
        fencing: deps.lease.fencing,
        mayAct: authority.mayRun,
        limits,
        listSamplers,
        sidecar,
        clock,
        random: random.fork(),
        logger,
        metrics,
        minVersion: () => state.bounds().minVersion,
    });
    const dispatcher: Dispatcher = parts.createDispatcher({
        job: () => state.job,
        limits,
        fencing: deps.lease.fencing,
        clock,
        random: random.fork(),
        logger,
        metrics,
        listSamplers: () => listSamplers().map(roller.maskUncertainVersion),
        sidecar,
        mayAct: authority.mayRun,
        isAboutToSwap: roller.isAboutToSwap,
        onSampleGenerated: generated => void producer.handleGenerated(generated),
    });
    const producer = createSampleProducer({
        state,
        guards,
        clock,
        random: random.fork(),
        logger,
        metrics,
        scoring: deps.scoring,
        dispatcher,
        isStopped: () => authority.stopCode() !== undefined,
        onGroupComplete: options.onGroupComplete,
    });
    return { producer, dispatcher, roller };
}
