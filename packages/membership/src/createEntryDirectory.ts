import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { EntryTarget } from "./EntryTarget.js";

/** Entries that a sidecar knows, with their recent failures. */
interface EntryDirectory {
    add(targets: EntryTarget[]): void;
    recordSuccess(address: string): void;
    recordFailure(address: string): void;
    /** Entries that are not backing off after a failure; all entries if every one is. */
    listUsable(): EntryTarget[];
    /** Number of entries that are not backing off; 0 if all are. */
    countUsable(): number;
}

interface Row {
    target: EntryTarget;
    failures: number;
    retryAtMs: number;
}

const minRetryMs = 2_000;
const maxRetryMs = 60_000;
const failuresToForget = 8;
const maxEntries = 512;
const unknownDomain = "" as FailureDomain;

/** Creates a sidecar's directory of entries. A seed's failure domain is unknown until an answer names it. */
export function createEntryDirectory(nowMs: () => number, seeds: string[]): EntryDirectory {
    const rows = new Map<string, Row>();

    function add(targets: EntryTarget[]): void {
        for (const target of targets) {
            const known = rows.get(target.address);
            if (known !== undefined) {
                known.target = target;
            }
            else if (rows.size < maxEntries) {
                rows.set(target.address, { target, failures: 0, retryAtMs: 0 });
            }
        }
    }

    function addSeeds(): void {
        add(
            seeds.filter(address => !rows.has(address)).map(address => ({
                address,
                failureDomain: unknownDomain,
            })),
        );
    }

    const usableRows = (): Row[] => [...rows.values()].filter(row => row.retryAtMs <= nowMs());

    function recordFailure(address: string): void {
        const row = rows.get(address);
        if (row === undefined) {
            return;
        }
        row.failures++;
        row.retryAtMs = nowMs() + Math.min(maxRetryMs, minRetryMs * 2 ** (row.failures - 1));
        if (row.failures >= failuresToForget && rows.size > 1) {
            rows.delete(address);
        }
    }

    addSeeds();
    return {
        add,
        recordSuccess: address => {
            const row = rows.get(address);
            if (row !== undefined) {
                row.failures = 0;
                row.retryAtMs = 0;
            }
        },
        recordFailure,
        listUsable: () => {
            addSeeds();
            const usable = usableRows();
            return (usable.length > 0 ? usable : [...rows.values()]).map(row => row.target);
        },
        countUsable: () => usableRows().length,
    };
}
