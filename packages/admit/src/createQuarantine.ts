import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { createQuarantineRecords } from "./createQuarantineRecords.js";
import { createStoredList } from "./createStoredList.js";
import { createTrials } from "./createTrials.js";
import { groupDeaths } from "./groupDeaths.js";
import { isTrialDue } from "./isTrialDue.js";
import type { Quarantine } from "./Quarantine.js";
import type { QuarantineDeps } from "./QuarantineDeps.js";
import type { ToldDeath } from "./ToldDeath.js";

const defaultPublishWithinMs = 1_000;
/** A death under full load has hundreds of contents; a line names this many and counts the rest. */
const maxLoggedDigests = 16;

/** Makes an entry's view of the quarantine; see `docs/operators/quarantine.md`. */
export function createQuarantine(deps: QuarantineDeps): Quarantine {
    const { store, clock, random, logger, publishWithinMs = defaultPublishWithinMs } = deps;
    const records = createQuarantineRecords(deps);
    let wake = (): void => {};
    let announce = (_document: SharedDocument): void => {};
    const stored = createStoredList({ store, clock, logger, records, onNews: () => wake() });
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
                announce(document);
            }
            return document !== undefined;
        },
    });

    function takeNews(offered: QuarantineRecord[]): void {
        if (records.take(offered)) {
            stored.markNew();
        }
    }

    async function lift(digest: ContentDigest): Promise<void> {
        const forgiven = records.forgiven(digest);
        if (forgiven === undefined) {
            throw new ResultError(resultCodes.notFound, "digest");
        }
        takeNews([forgiven]);
        await stored.publish();
        if (stored.isNew()) {
            throw new ResultError(resultCodes.storeUnavailable, "other entries kept writing; send again");
        }
        logger.info("contentLifted", { digest });
    }

    async function waitForNews(signal: AbortSignal): Promise<void> {
        if (!stored.isNew() && !signal.aborted) {
            await new Promise<void>(resolve => {
                wake = resolve;
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
        await clock.sleep(publishWithinMs * random.nextUnit(), signal);
    }

    async function run(signal: AbortSignal, onDocument: (document: SharedDocument) => void): Promise<void> {
        announce = onDocument;
        while (!signal.aborted) {
            await waitForNews(signal);
            const document = await stored.publish().catch(() => undefined);
            if (document !== undefined) {
                onDocument(document);
            }
            else if (stored.isNew()) {
                // The object API is down or busy; what is known here is in force here meanwhile.
                await clock.sleep(publishWithinMs, signal);
            }
        }
    }

    function noteDeath(death: ToldDeath): void {
        const news = records.newsOf(death);
        if (news.length > 0) {
            const { vm, bootId, contents } = death;
            const told = news.slice(0, maxLoggedDigests).map(record => record.digest).join();
            logger.info("deathNoted", { vm, bootId, contents, digests: told });
        }
        takeNews(news);
    }

    function noteCleanFinish(digest: ContentDigest): void {
        if (!records.isSuspect(digest)) {
            return;
        }
        logger.info("suspectFinishedCleanly", { digest, isRefused: records.isRefused(digest) });
        takeNews([records.forgiven(digest)!]);
    }

    return {
        noteReport: report => groupDeaths(report.suspects).forEach(noteDeath),
        noteDeath: (vm, bootId, digests) => noteDeath({ vm, bootId, contents: undefined, digests }),
        noteCleanFinish,
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
