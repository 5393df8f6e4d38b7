import type { WaitingSample } from "./WaitingSample.js";
import type { WorkOrder } from "./WorkOrder.js";

/** Samples kept in sending order. */
interface WaitingQueue<Work extends WaitingSample> {
    add(work: Work): void;
    remove(work: Work): boolean;
    /** Those whose time has come, first to be sent first. */
    due(nowMs: number): Work[];
    /** Earliest `notBeforeMs` that is still ahead; undefined if none is. */
    nextDueMs(nowMs: number): number | undefined;
    size(): number;
    /** What the order looks at has changed. */
    resort(): void;
    all(): Iterable<Work>;
}

/** Makes a queue that sorts when read after a change, which is cheap because most of it is in order already. */
export function createWaitingQueue<Work extends WaitingSample>(order: WorkOrder): WaitingQueue<Work> {
    const members = new Set<Work>();
    let sorted: Work[] = [];
    let isStale = false;

    function refresh(): void {
        if (isStale) {
            sorted = sorted.filter(work => members.has(work));
            const present = new Set(sorted);
            for (const work of members) {
                if (!present.has(work)) {
                    sorted.push(work);
                }
            }
            sorted.sort(order);
            isStale = false;
        }
    }

    return {
        add: work => {
            members.add(work);
            isStale = true;
        },
        remove: work => {
            const wasMember = members.delete(work);
            isStale ||= wasMember;
            return wasMember;
        },
        due: nowMs => {
            refresh();
            return sorted.filter(work => work.notBeforeMs <= nowMs);
        },
        nextDueMs: nowMs => {
            let earliest: number | undefined;
            for (const work of members) {
                if (work.notBeforeMs > nowMs && (earliest === undefined || work.notBeforeMs < earliest)) {
                    earliest = work.notBeforeMs;
                }
            }
            return earliest;
        },
        size: () => members.size,
        resort: () => {
            isStale = true;
        },
        all: () => members,
    };
}
