import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { createQuarantineRecords } from "./createQuarantineRecords.js";
import { createQuarantineStore } from "./createQuarantineStore.js";
import { createTrials } from "./createTrials.js";
import { groupCrashes } from "./groupCrashes.js";
import { isTrialDue } from "./isTrialDue.js";
import type { Quarantine } from "./Quarantine.js";
import type { QuarantineDeps } from "./QuarantineDeps.js";
import type { ReportedCrash } from "./ReportedCrash.js";

const defaultPublishWithinMs = 1_000;
/** A crash under full load involves hundreds of contents; a log line names at most this many. */
const maxLoggedDigests = 16;

/** Creates an entry's view of the quarantine; see `docs/operators/quarantine.md`. */
export function createQuarantine(deps: QuarantineDeps): Quarantine {
    const { store, clock, random, logger, publishWithinMs = defaultPublishWithinMs } = deps;
    const records = createQuarantineRecords(deps);
    let wake = (): void => {};
    let onPublished = (_document: SharedDocument): void => {};
    const stored = createQuarantineStore({ store, clock, logger, records, onUnpublished: () => wake() });
    const trials = createTrials({
        clock,
        random,
        logger,
        ...records,
        dueAtMs: records.trialDueAtMs,
        isDue: deps.isTrialDue ?? isTrialDue,
        write: async record => {
            const document = await stored.write([record]);
            if (document !== undefined) {
                onPublished(document);
            }
            return document !== undefined;
        },
    });

    function mergeAndMark(offered: QuarantineRecord[]): void {
        if (records.merge(offered)) {
            stored.markUnpublished();
        }
    }

    async function lift(digest: ContentDigest): Promise<void> {
        const lifted = records.liftedRecord(digest);
        if (lifted === undefined) {
            throw new ResultError(resultCodes.notFound, "digest");
        }
        mergeAndMark([lifted]);
        await stored.publish();
        if (stored.hasUnpublished()) {
            throw new ResultError(resultCodes.storeUnavailable, "other entries kept writing; send again");
        }
        logger.info("contentLifted", { digest });
    }

    async function waitForUnpublished(signal: AbortSignal): Promise<void> {
        if (!stored.hasUnpublished() && !signal.aborted) {
            await new Promise<void>(resolve => {
                wake = resolve;
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
        await clock.sleep(publishWithinMs * random.nextUnit(), signal);
    }

    async function run(signal: AbortSignal, onDocument: (document: SharedDocument) => void): Promise<void> {
        onPublished = onDocument;
        while (!signal.aborted) {
            await waitForUnpublished(signal);
            const document = await stored.publish().catch(() => undefined);
            if (document !== undefined) {
                onDocument(document);
            }
            else if (stored.hasUnpublished()) {
                // The object API is down or busy; meanwhile the records of this entry are in effect here.
                await clock.sleep(publishWithinMs, signal);
            }
        }
    }

    function recordCrash(crash: ReportedCrash): void {
        const newRecords = records.newRecordsOf(crash);
        if (newRecords.length > 0) {
            const { vm, bootId, contents } = crash;
            const loggedDigests = newRecords.slice(0, maxLoggedDigests).map(record => record.digest).join();
            logger.info("deathNoted", { vm, bootId, contents, digests: loggedDigests });
        }
        mergeAndMark(newRecords);
    }

    function recordCleanFinish(digest: ContentDigest): void {
        if (!records.isSuspect(digest)) {
            return;
        }
        logger.info("suspectFinishedCleanly", { digest, isRefused: records.isRefused(digest) });
        mergeAndMark([records.liftedRecord(digest)!]);
    }

    return {
        recordSuspects: report => groupCrashes(report.suspects).forEach(recordCrash),
        recordCrash: (vm, bootId, digests) => recordCrash({ vm, bootId, contents: undefined, digests }),
        recordCleanFinish,
        isRefused: records.isRefused,
        isSuspect: records.isSuspect,
        mustRunApart: (digest, others) =>
            records.isSuspect(digest)
            && [...others].some(other => other !== digest && records.isSuspect(other)),
        offer: stored.offer,
        list: records.list,
        ...trials,
        lift,
        publish: stored.publish,
        run,
    };
}
