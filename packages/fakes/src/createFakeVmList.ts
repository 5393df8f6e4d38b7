import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmList } from "@auburnarch/types/VmList";
import type { VmRecord } from "@auburnarch/types/VmRecord";

interface FakeVmListControl {
    add(record: VmRecord): void;
    markLeaving(vm: VmId): void;
    remove(vm: VmId): void;
    setOutage(down: boolean): void;
}

interface Snapshot {
    atMs: number;
    records: VmRecord[];
}

/** Creates a VM list that shows its state of `lagMs` ago. Initial records are visible at once. */
export function createFakeVmList(
    options: { clock: Clock; lagMs: number; records?: VmRecord[]; },
): { vmList: VmList; control: FakeVmListControl; } {
    const { clock, lagMs } = options;
    let snapshots: Snapshot[] = [{ atMs: Number.NEGATIVE_INFINITY, records: options.records ?? [] }];
    let down = false;

    function change(edit: (records: VmRecord[]) => VmRecord[]): void {
        const latest = snapshots[snapshots.length - 1]!;
        snapshots.push({ atMs: clock.monotonicMs(), records: edit(latest.records) });
    }

    function visibleRecords(): VmRecord[] {
        const limitMs = clock.monotonicMs() - lagMs;
        const index = snapshots.findLastIndex(snapshot => snapshot.atMs <= limitMs);
        snapshots = snapshots.slice(Math.max(0, index));
        return structuredClone(snapshots[0]!.records);
    }

    return {
        vmList: async () => {
            if (down) {
                throw new ResultError(resultCodes.vmListUnavailable);
            }
            return visibleRecords();
        },
        control: {
            add: record => change(records => [...records.filter(other => other.vm !== record.vm), record]),
            markLeaving: vm =>
                change(records =>
                    records.map(record => record.vm === vm ? { ...record, state: "leaving" } : record)
                ),
            remove: vm => change(records => records.filter(record => record.vm !== vm)),
            setOutage: isDown => {
                down = isDown;
            },
        },
    };
}
