import { chooseOverDomains } from "./chooseOverDomains.js";
import { createAwakeTime } from "./createAwakeTime.js";
import { createEntryBook } from "./createEntryBook.js";
import { createGossip } from "./createGossip.js";
import { createReportBook } from "./createReportBook.js";
import { createReportPacer } from "./createReportPacer.js";
import { createVmView } from "./createVmView.js";
import { defaultMembershipTiming } from "./defaultMembershipTiming.js";
import { drawSome } from "./drawSome.js";
import type { EntryTarget } from "./EntryTarget.js";
import type { EntryView } from "./EntryView.js";
import type { Membership } from "./Membership.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import { parseWith } from "./parseWith.js";
import type { ReportAnswer } from "./ReportAnswer.js";
import type { ReportMessage } from "./ReportMessage.js";
import { reportMessageSchema } from "./reportMessageSchema.js";
import type { ReportView } from "./ReportView.js";

const relayKey = "relay";
/** Relays of each region, however many regions there are: one may die while the other goes on. */
const minRelaysPerRegion = 2;
/** A sidecar that knows fewer entries than this many times its targets is told of more. */
const knownFactor = 4;
const entriesPerAnswer = 4;
/** Part of the answers that name an entry all the same, so that new entries become known. */
const unaskedRatio = 0.1;

/** Makes the membership of an entry: heartbeats with other entries, reports of sidecars, the VM list. */
export function createMembership(deps: MembershipDeps): Membership {
    const timing: MembershipTiming = { ...defaultMembershipTiming, ...deps.timing };
    const { self, clock, random, logger } = deps;
    const stopped = new AbortController();
    const awake = createAwakeTime(clock, timing.gossipIntervalMs);
    const vmView = createVmView({ ...deps, intervalMs: timing.vmListIntervalMs });
    const entries = createEntryBook(awake.nowMs, timing, logger);
    const reports = createReportBook(awake.nowMs, timing, logger);
    const gossip = createGossip(deps, entries, timing);
    const pacer = createReportPacer(timing);

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            awake.tick();
            entries.prune(record => vmView.isListed(record.vm));
            reports.prune(report => vmView.isListed(report.vm));
            // Not awaited: a slow peer does not delay the heartbeat.
            gossip.exchangeOnce([...deps.seeds, ...vmView.listEntryAddresses()]).catch((error: unknown) =>
                logger.warn("gossipMalformed", { error: String(error) })
            );
            await clock.sleep(timing.gossipIntervalMs * (0.8 + 0.4 * random.nextUnit()), stopped.signal);
        }
    }

    function listEntries(): EntryView[] {
        return entries.list().map(view => ({
            ...view,
            leaving: view.leaving || vmView.isLeaving(view.record.vm),
        }));
    }

    const listUsable = (): EntryView[] => listEntries().filter(view => !view.suspected && !view.leaving);

    const toTarget = ({ record }: EntryView): EntryTarget => ({
        address: record.address,
        failureDomain: record.failureDomain,
    });

    function isRelay(): boolean {
        const usable = listUsable().map(view => view.record);
        const regions = new Set([self, ...usable].map(record => record.region)).size;
        const count = Math.max(minRelaysPerRegion, Math.ceil(timing.relays / regions));
        const near = usable.filter(record => record.region === self.region);
        // Each region has relays of its own, so that one that is cut off needs no election to go on.
        const chosen = chooseOverDomains(`${relayKey}/${self.region}`, [self, ...near], count);
        return chosen.includes(self);
    }

    function tellEntries(knownEntries: number): EntryTarget[] {
        if (knownEntries < knownFactor * timing.reportTargets) {
            return drawSome(listUsable(), entriesPerAnswer, random).map(toTarget);
        }
        return random.nextUnit() < unaskedRatio ? drawSome(listUsable(), 1, random).map(toTarget) : [];
    }

    function receiveReport(message: unknown): ReportAnswer {
        const { report, digest, knownEntries } = parseWith<ReportMessage>(reportMessageSchema, message);
        reports.take(report);
        pacer.note(message);
        return {
            documents: deps.newerDocuments(digest),
            nextReportMs: pacer.intervalMs(reports.size()),
            entries: tellEntries(knownEntries),
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
        takeReport: report => void reports.take(report),
        listEntries,
        listPeers: () => listUsable().map(toTarget),
        listReports,
        noteSampler: reports.note,
        isRelay,
    };
}
