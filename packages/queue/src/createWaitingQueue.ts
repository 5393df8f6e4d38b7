import type { SampleOrdering } from "./SampleOrdering.js";
import type { WaitingSample } from "./WaitingSample.js";

/** Waiting samples in the order in which they are sent. */
interface WaitingQueue<Work extends WaitingSample> {
    add(work: Work): void;
    remove(work: Work): boolean;
    /** Samples whose `notBeforeMs` has passed, in sending order. Samples removed during iteration are left out. */
    due(nowMs: number): Iterable<Work>;
    size(): number;
    /** To be called after values have changed by which the samples are ordered. */
    invalidateOrder(): void;
    all(): Iterable<Work>;
}

/** Creates a queue that sorts when read after a change, which is cheap because most samples are in order already. */
export function createWaitingQueue<Work extends WaitingSample>(order: SampleOrdering): WaitingQueue<Work> {
    const members = new Set<Work>();
    /** May still contain removed samples; `members` is authoritative. */
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
