import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { Logger } from "@auburnarch/types/Logger";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { SwapRoller } from "@auburnarch/weights/SwapRoller";
import type { JobState } from "./JobState.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import { pageKey } from "./pageKey.js";
import type { SampleProducer } from "./SampleProducer.js";

interface WeightUpdaterDeps {
    state: JobState;
    guards: OwnerGuards;
    invariants: Invariants;
    logger: Logger;
    dispatcher: Dispatcher;
    roller: SwapRoller;
    producer: SampleProducer;
}

/** Applies published weights to dispatching, swaps and generated samples. */
interface WeightUpdater {
    /** Applies weights that are stored in the object API. */
    apply(weights: PublishedWeights): void;
    /** Applies the staleness bound to running and to finished samples. */
    applyBounds(): void;
}

/** Creates the updater of published weights. */
export function createWeightUpdater(deps: WeightUpdaterDeps): WeightUpdater {
    const { state, guards, invariants, logger, dispatcher, roller, producer } = deps;

    /** Regenerates samples that exceed the bound, except those on the page that the trainer may be receiving now. */
    function regenerateStaleGroups(step: OpenStep): void {
        const issuedGroups =
            step.issuedPages.get(pageKey(step.furthestCursor))?.groups.map(group => group.group)
                ?? [];
        step.document.prompts
            .map((_, group) => group)
            .filter(group =>
                guards.isUndelivered(step.furthestCursor.delivered, group) && !issuedGroups.includes(group)
            )
            .forEach(group => producer.regenerateStale(step, group));
    }

    function applyBounds(): void {
        dispatcher.raiseMinVersion(state.publishedVersion, state.bounds().minVersion);
        state.steps.forEach(regenerateStaleGroups);
    }

    function raiseVersion(weights: PublishedWeights): void {
        invariants.check(resultCodes.configReverted, weights.version > state.publishedVersion, {
            job: state.job.job,
            version: weights.version,
            standing: state.publishedVersion,
        });
        state.publishedVersion = weights.version;
        logger.info("weightsPublished", { version: weights.version, minVersion: state.bounds().minVersion });
        applyBounds();
    }

    return {
        apply: weights => {
            const isSame = weights.version === state.publishedVersion;
            if (!isSame && guards.isHigherVersion(weights.version, state.publishedVersion)) {
                raiseVersion(weights);
            }
            roller.publish(weights);
        },
        applyBounds,
    };
}
