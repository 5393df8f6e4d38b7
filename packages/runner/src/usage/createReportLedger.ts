import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { TeamId } from "@auburnarch/types/TeamId";
import { z } from "zod";
import type { RecordedReport } from "./RecordedReport.js";
import type { ReportLedger } from "./ReportLedger.js";

const key = "usage-reports/ledger";
const absent = 0 as ObjectVersion;
/** Far more than the windows that may still be sent. */
const maxReports = 12;

const ledgerSchema = z.object({
    reports: z.array(z.object({
        window: z.number().int().nonnegative(),
        counts: z.record(z.string().transform(name => name as TeamId), z.number().int().nonnegative()),
        isSettled: z.boolean(),
    })),
});

/**
 * Creates the ledger of one holder of the duty. It is a single object that is replaced under its version: what
 * another holder has recorded in the meantime is read before anything is added, so that the counts of a window never
 * change.
 */
export function createReportLedger(store: Pick<ObjectStore, "read" | "write">): ReportLedger {
    const settled = new Set<number>();
    let version = absent;
    let known: RecordedReport[] | undefined;

    function adopt(object: StoredObject | undefined): void {
        version = object?.version ?? absent;
        known = object === undefined ? [] : ledgerSchema.parse(object.value).reports;
    }

    const withSettled = (reports: RecordedReport[]): RecordedReport[] =>
        reports.map(report => ({ ...report, isSettled: report.isSettled || settled.has(report.window) }));

    async function load(): Promise<void> {
        adopt(await store.read(key));
    }

    return {
        reports: () => known === undefined ? undefined : withSettled(known),
        load,
        markSettled: window => void settled.add(window),
        record: async report => {
            const reports = withSettled(known ?? []);
            if (reports.some(({ window }) => window === report.window)) {
                return;
            }
            const next = [...reports, { ...report, isSettled: false }]
                .sort((a, b) => a.window - b.window)
                .slice(-maxReports);
            const before = version;
            // Until the answer arrives the stored state is unknown.
            known = undefined;
            const outcome = await store.write(key, { reports: next }, before);
            if (outcome.kind === "written") {
                version = outcome.version;
                known = next;
            }
            else {
                adopt(outcome.current);
            }
        },
    };
}
