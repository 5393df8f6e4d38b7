import type { SampleOrdering } from "./SampleOrdering.js";
import type { WaitingSample } from "./WaitingSample.js";

/** Samples kept in sending order. */
interface WaitingQueue<Work extends WaitingSample> {
    add(work: Work): void;
    remove(work: Work): boolean;
    /** Those whose time has come, first to be sent first. Members removed while it is read are left out. */
    due(nowMs: number): Iterable<Work>;
    size(): number;
    /** What the order looks at has changed. */
    invalidateOrder(): void;
    all(): Iterable<Work>;
}

/** Makes a queue that sorts when read after a change, which is cheap because most of it is in order already. */
export function createWaitingQueue<Work extends WaitingSample>(order: SampleOrdering): WaitingQueue<Work> {
    const members = new Set<Work>();
    /** May still hold what was removed; `members` has the say. */
    let sorted: Work[] = [];
    let isSorted = true;

    function refresh(): void {
        if (!isSorted) {
            sorted = [...members].sort(order);
            isSorted = true;
        }
    }

    function* due(nowMs: number): Iterable<Work> {
        refresh();
        for (const work of sorted) {
            if (work.notBeforeMs <= nowMs && members.has(work)) {
                yield work;
            }
        }
    }

    return {
        add: work => {
            members.add(work);
            isSorted = false;
        },
        remove: work => members.delete(work),
        due,
        size: () => members.size,
        invalidateOrder: () => {
            isSorted = false;
        },
        all: () => members,
    };
}
