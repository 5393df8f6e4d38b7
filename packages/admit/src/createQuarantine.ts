import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VmId } from "@auburnarch/types/VmId";
import { createQuarantineRecords } from "./createQuarantineRecords.js";
import { mergeRecords } from "./mergeRecords.js";
import { parseQuarantine } from "./parseQuarantine.js";
import type { Quarantine } from "./Quarantine.js";
import type { QuarantineDeps } from "./QuarantineDeps.js";

const key = "quarantine";
const defaultPublishWithinMs = 1_000;
const maxTries = 5;
/** A death under full load has hundreds of contents; a line names this many and counts the rest. */
const maxLoggedDigests = 16;
const absent = 0 as ObjectVersion;

/** Makes an entry's view of the quarantine; see `docs/operators/quarantine.md`. */
export function createQuarantine(deps: QuarantineDeps): Quarantine {
    const { store, clock, random, logger, publishWithinMs = defaultPublishWithinMs } = deps;
    const records = createQuarantineRecords(deps);
    let version: ObjectVersion = absent;
    let isNew = false;
    let wake = (): void => {};

    function takeNews(offered: QuarantineRecord[]): void {
        if (records.take(offered)) {
            isNew = true;
            wake();
        }
    }

    /** Takes a stored list; true if it lacks something that is known here. */
    function takeStored(value: unknown, storedVersion: ObjectVersion): boolean {
        const stored = parseQuarantine(value) ?? [];
        version = storedVersion;
        records.take(stored);
        const isLive = (record: QuarantineRecord): boolean => record.expiresAtMs > clock.wallMs();
        const present = JSON.stringify(mergeRecords(records.list()));
        return JSON.stringify(mergeRecords(stored.filter(isLive))) !== present;
    }

    async function publish(): Promise<SharedDocument | undefined> {
        for (let tries = 0; tries < maxTries && isNew; tries++) {
            const value = { records: mergeRecords(records.list()) };
            isNew = false;
            const outcome = await store.write(key, value, version).catch((error: unknown) => {
                isNew = true;
                throw error;
            });
            if (outcome.kind === "written") {
                version = outcome.version;
                logger.info("quarantinePublished", { version, records: value.records.length });
                return { name: key, version, value };
            }
            const lacks = takeStored(outcome.current?.value, outcome.current?.version ?? absent);
            isNew = isNew || lacks;
        }
        return undefined;
    }

    async function lift(digest: ContentDigest): Promise<void> {
        const forgiven = records.forgiven(digest);
        if (forgiven === undefined) {
            throw new ResultError(resultCodes.notFound, "digest");
        }
        takeNews([forgiven]);
        await publish();
        if (isNew) {
            throw new ResultError(resultCodes.storeUnavailable, "other entries kept writing; send again");
        }
        logger.info("contentLifted", { digest });
    }

    async function waitForNews(signal: AbortSignal): Promise<void> {
        if (!isNew && !signal.aborted) {
            await new Promise<void>(resolve => {
                wake = resolve;
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
        await clock.sleep(publishWithinMs * random.nextUnit(), signal);
    }

    async function run(signal: AbortSignal, onDocument: (document: SharedDocument) => void): Promise<void> {
        while (!signal.aborted) {
            await waitForNews(signal);
            const document = await publish().catch(() => undefined);
            if (document !== undefined) {
                onDocument(document);
            }
            else if (isNew) {
                // The object API is down or busy; what is known here is in force here meanwhile.
                await clock.sleep(publishWithinMs, signal);
            }
        }
    }

    function noteDeath(vm: string, bootId: string, digests: ContentDigest[]): void {
        const news = records.newsOf(vm, bootId, digests);
        if (news.length > 0) {
            const told = news.slice(0, maxLoggedDigests).map(record => record.digest).join();
            logger.info("deathNoted", { vm, bootId, contents: news.length, digests: told });
        }
        takeNews(news);
    }

    function noteReport(report: Pick<SamplerReport, "suspects">): void {
        const deaths = new Map<string, { vm: VmId; bootId: string; digests: ContentDigest[]; }>();
        for (const suspect of report.suspects) {
            for (const { vm, bootId } of suspect.deaths) {
                const name = `${vm} ${bootId}`;
                const death = deaths.get(name) ?? { vm, bootId, digests: [] };
                death.digests.push(suspect.digest);
                deaths.set(name, death);
            }
        }
        deaths.forEach(({ vm, bootId, digests }) => noteDeath(vm, bootId, digests));
    }

    function noteCleanFinish(digest: ContentDigest): void {
        if (!records.isSuspect(digest)) {
            return;
        }
        logger.info("suspectFinishedCleanly", { digest, isRefused: records.isRefused(digest) });
        takeNews([records.forgiven(digest)!]);
    }

    return {
        noteReport,
        noteDeath,
        noteCleanFinish,
        isRefused: records.isRefused,
        isSuspect: records.isSuspect,
        mustRunApart: (digest, others) =>
            records.isSuspect(digest)
            && [...others].some(other => other !== digest && records.isSuspect(other)),
        offer: document => {
            if (document.version <= version) {
                return false;
            }
            isNew = takeStored(document.value, document.version as ObjectVersion);
            if (isNew) {
                wake();
            }
            return true;
        },
        list: records.list,
        lift,
        publish,
        run,
    };
}
