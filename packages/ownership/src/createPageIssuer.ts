import { advanceCursor } from "@auburnarch/cursors/advanceCursor";
import { countGroups } from "@auburnarch/cursors/countGroups";
import type { CursorState } from "@auburnarch/cursors/CursorState";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import { checkPageInvariants } from "./checkPageInvariants.js";
import type { GroupReaderDeps } from "./GroupReaderDeps.js";
import type { OpenStep } from "./OpenStep.js";
import { pageKey } from "./pageKey.js";

const maxPageGroups = 64;

/** Returns the page that answers a cursor now; undefined while no group is ready. */
type PageIssuer = (step: OpenStep, cursor: CursorState) => GroupsPage | undefined;

const allGroups = (step: OpenStep): number[] => step.document.prompts.map((_, group) => group);

/**
 * Creates the issuer of pages. A repeated read with the same cursor gets the same page, unless one of its samples
 * has exceeded the staleness bound since: the old cursor proves that the trainer doesn't have these samples, so
 * they are generated again.
 */
export function createPageIssuer(deps: GroupReaderDeps): PageIssuer {
    const { state, codec, producer, guards, logger, metrics } = deps;
    const { job } = state.job;

    function passesInvariants(step: OpenStep, cursor: CursorState, groups: SampleGroup[]): boolean {
        const { step: number, groupSize } = step.document;
        const { delivered } = cursor;
        return checkPageInvariants(deps.invariants, {
            job,
            step: number,
            groupSize,
            delivered,
            groups,
            bounds: state.bounds(),
        });
    }

    function readyGroups(step: OpenStep, cursor: CursorState): SampleGroup[] {
        const ready: SampleGroup[] = [];
        for (const group of allGroups(step)) {
            if (ready.length === maxPageGroups) {
                break;
            }
            if (!guards.isUndelivered(cursor.delivered, group) || producer.regenerateStale(step, group)) {
                continue;
            }
            const completeGroup = step.ledger.wholeGroup(group);
            if (completeGroup !== undefined) {
                ready.push(completeGroup);
            }
        }
        return ready;
    }

    function issuePage(step: OpenStep, cursor: CursorState, groups: SampleGroup[]): GroupsPage {
        const number = step.document.step;
        if (!passesInvariants(step, cursor, groups)) {
            throw new ResultError(resultCodes.internal, "a promise would break; the page is withheld");
        }
        const next = advanceCursor(cursor, groups, deps.fencing);
        logger.info("groupsOffered", { step: number, groups: groups.length, delivered: countGroups(cursor) });
        metrics.count("groups_offered_total", {}, groups.length);
        const page: GroupsPage = {
            job,
            step: number as StepNumber,
            fencing: deps.fencing,
            groups,
            cursor: codec.encode(next),
            done: false,
        };
        step.issuedPages.set(pageKey(cursor), page);
        return page;
    }

    /** The page issued for this cursor before, if every sample in it may still be delivered. */
    function repeatPage(step: OpenStep, cursor: CursorState): GroupsPage | undefined {
        const issued = step.issuedPages.get(pageKey(cursor));
        if (issued === undefined || !guards.repeatsPage()) {
            return undefined;
        }
        const { minVersion } = state.bounds();
        const isFresh = issued.groups
            .every(group => group.samples.every(sample => guards.isFresh(sample.spans, minVersion)));
        if (!isFresh) {
            step.issuedPages.delete(pageKey(cursor));
            return undefined;
        }
        return passesInvariants(step, cursor, issued.groups) ? issued : undefined;
    }

    return (step, cursor) => {
        const repeated = repeatPage(step, cursor);
        if (repeated !== undefined) {
            return repeated;
        }
        const groups = readyGroups(step, cursor);
        return groups.length === 0 ? undefined : issuePage(step, cursor, groups);
    };
}
