import { drawSome } from "@auburnarch/documents/drawSome";
import { parseMessage } from "@auburnarch/documents/parseMessage";
import { chooseOverDomains } from "./chooseOverDomains.js";
import { createEntryRegistry } from "./createEntryRegistry.js";
import { createGossip } from "./createGossip.js";
import { createReportPacer } from "./createReportPacer.js";
import { createReportRegistry } from "./createReportRegistry.js";
import { createRunningTime } from "./createRunningTime.js";
import { createVmView } from "./createVmView.js";
import { defaultMembershipTiming } from "./defaultMembershipTiming.js";
import type { EntryTarget } from "./EntryTarget.js";
import type { EntryView } from "./EntryView.js";
import type { Membership } from "./Membership.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { ReportAnswer } from "./ReportAnswer.js";
import type { ReportMessage } from "./ReportMessage.js";
import { reportMessageSchema } from "./reportMessageSchema.js";
import type { ReportView } from "./ReportView.js";

const relayKey = "relay";
const usableCacheMs = 1_000;
/** Minimum of relays per region for any number of regions: one may crash while the other continues. */
const minRelaysPerRegion = 2;
/** A sidecar that knows fewer entries than this multiple of its targets is sent more. */
const enoughEntriesFactor = 4;
const entriesPerAnswer = 4;
/** Share of the other answers that name an entry too, so that sidecars learn of new entries. */
const unsolicitedEntryRatio = 0.1;

/** Creates the membership of an entry from gossip between entries, sidecar reports and the VM list. */
export function createMembership(deps: MembershipDeps): Membership {
    const timing: MembershipTiming = { ...defaultMembershipTiming, ...deps.timing };
    const { self, clock, random, logger } = deps;
    const stopped = new AbortController();
    const runningTime = createRunningTime(clock, timing.gossipIntervalMs);
    const vmView = createVmView({ ...deps, intervalMs: timing.vmListIntervalMs });
    const entries = createEntryRegistry(runningTime.nowMs, timing, logger);
    const reports = createReportRegistry(runningTime.nowMs, timing, logger);
    const gossip = createGossip(deps, entries, runningTime, timing);
    const pacer = createReportPacer(timing);

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            runningTime.tick();
            entries.prune(record => vmView.isListed(record.vm));
            reports.prune(report => vmView.isListed(report.vm));
            // Not awaited, so that a slow peer does not delay the next probe.
            void gossip.probeOnce(() => [...deps.seeds, ...vmView.listEntryAddresses()]);
            await clock.sleep(timing.gossipIntervalMs * (0.8 + 0.4 * random.nextUnit()), stopped.signal);
        }
    }

    function listEntries(): EntryView[] {
        return entries.list().map(view => ({
            ...view,
            leaving: view.leaving || vmView.isLeaving(view.record.vm),
        }));
    }

    let usableCache: { views: EntryView[]; revision: number; untilMs: number; } | undefined;

    /** Entries neither suspected nor leaving; cached for a second, since every message needs them. */
    function listUsable(): EntryView[] {
        const nowMs = clock.monotonicMs();
        if (
            usableCache === undefined || usableCache.revision !== entries.revision()
            || nowMs >= usableCache.untilMs
        ) {
            const views = listEntries().filter(view => !view.suspected && !view.leaving);
            usableCache = { views, revision: entries.revision(), untilMs: nowMs + usableCacheMs };
        }
        return usableCache.views;
    }

    const toTarget = ({ record }: EntryView): EntryTarget => ({
        address: record.address,
        failureDomain: record.failureDomain,
    });

    function computeRelay(): boolean {
        const records = listUsable().map(view => view.record);
        const regions = new Set([self, ...records].map(record => record.region)).size;
        const count = Math.max(minRelaysPerRegion, Math.ceil(timing.relayCount / regions));
        const sameRegion = records.filter(record => record.region === self.region);
        // Each region has its own relays, so that a disconnected region continues without an election.
        const chosen = chooseOverDomains(`${relayKey}/${self.region}`, [self, ...sameRegion], count);
        return chosen.includes(self);
    }

    let relayStatus: { isRelay: boolean; among: string; } | undefined;

    function isRelay(): boolean {
        // Hashing all entries on each call would dominate the cost; recompute only if the peers changed.
        const among = listUsable().map(view => view.record.address).join(" ");
        if (relayStatus?.among !== among) {
            const before = relayStatus?.isRelay ?? false;
            relayStatus = { isRelay: computeRelay(), among };
            if (relayStatus.isRelay !== before) {
                logger.info("relayChosen", {
                    entry: self.entry,
                    isRelay: relayStatus.isRelay,
                    among: listUsable().length + 1,
                });
            }
        }
        return relayStatus.isRelay;
    }

    function chooseEntriesToName(knownEntries: number): EntryTarget[] {
        const enough = Math.min(enoughEntriesFactor * timing.reportTargets, listUsable().length + 1);
        if (knownEntries < enough) {
            return drawSome(listUsable(), entriesPerAnswer, random).map(toTarget);
        }
        return random.nextUnit() < unsolicitedEntryRatio
            ? drawSome(listUsable(), 1, random).map(toTarget)
            : [];
    }

    function receiveReport(message: unknown): ReportAnswer {
        const parsed = parseMessage<ReportMessage>(reportMessageSchema, message);
        const { report, digest, knownEntries, documents = [] } = parsed;
        deps.acceptDocuments(documents);
        const nextReportMs = pacer.intervalMs(reports.size());
        reports.accept(report, nextReportMs);
        pacer.measure(message);
        const wanted = deps.absentDocuments(digest);
        return {
            documents: deps.newerDocuments(digest),
            ...(wanted.length > 0 ? { wanted } : {}),
            nextReportMs,
            entries: chooseEntriesToName(knownEntries),
            leaving: vmView.isLeaving(report.vm),
        };
    }

    function listReports(): ReportView[] {
        return reports.list().map(view =>
            vmView.isLeaving(view.report.vm)
                ? { ...view, report: { ...view.report, state: "leaving" } }
                : view
        );
    }

    return {
        start: () => {
            vmView.start();
            void run();
        },
        stop: () => {
            stopped.abort();
            vmView.stop();
        },
        beginLeaving: gossip.beginLeaving,
        receiveGossip: gossip.receive,
        receiveReport,
        acceptReport: report => void reports.accept(report, timing.maxReportIntervalMs),
        listEntries,
        listPeers: () => listUsable().map(toTarget),
        listReports,
        recordSamplerContact: reports.recordContact,
        isRelay,
    };
}
