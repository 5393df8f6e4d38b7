import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import type { SwapRoller } from "@auburnarch/swap/SwapRoller";
import type { Logger } from "@auburnarch/types/Logger";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { JobState } from "./JobState.js";
import type { Maker } from "./Maker.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import { pageKey } from "./pageKey.js";

interface WeightsTakerDeps {
    state: JobState;
    guards: OwnerGuards;
    invariants: Invariants;
    logger: Logger;
    dispatcher: Dispatcher;
    roller: SwapRoller;
    maker: Maker;
}

/** Puts published weights into force. */
interface WeightsTaker {
    /** Takes weights that stand in the object API. */
    take(weights: PublishedWeights): void;
    /** Applies the staleness bound to everything under way and everything made. */
    applyBounds(): void;
}

/** Makes the taker of published weights. */
export function createWeightsTaker(deps: WeightsTakerDeps): WeightsTaker {
    const { state, guards, invariants, logger, dispatcher, roller, maker } = deps;

    /** Makes anew what has gone over the bound, but for the page that the trainer may be taking in just now. */
    function remakeStaleGroups(step: OpenStep): void {
        const offered = step.pages.get(pageKey(step.furthest))?.groups.map(group => group.group) ?? [];
        step.document.prompts
            .map((_, group) => group)
            .filter(group => guards.isUndelivered(step.furthest.delivered, group) && !offered.includes(group))
            .forEach(group => maker.remakeStale(step, group));
    }

    function applyBounds(): void {
        dispatcher.raiseMinVersion(state.publishedVersion, state.bounds().minVersion);
        state.steps.forEach(remakeStaleGroups);
    }

    function raise(weights: PublishedWeights): void {
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
        take: weights => {
            const isSame = weights.version === state.publishedVersion;
            if (!isSame && guards.isHigherVersion(weights.version, state.publishedVersion)) {
                raise(weights);
            }
            roller.publish(weights);
        },
        applyBounds,
    };
}
