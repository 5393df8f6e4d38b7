import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmList } from "@auburnarch/types/VmList";
import type { VmRecord } from "@auburnarch/types/VmRecord";

/** The latest VM list that was read. */
interface VmView {
    start(): void;
    stop(): void;
    listEntryAddresses(): string[];
    isLeaving(vm: VmId): boolean;
    isListed(vm: VmId): boolean;
}

/** Creates a reader of the VM list. While reads fail, the last list read stays valid. */
export function createVmView(
    deps: { clock: Clock; logger: Logger; vmList: VmList; intervalMs: number; },
): VmView {
    const stopped = new AbortController();
    let records = new Map<VmId, VmRecord>();

    async function readOnce(): Promise<void> {
        try {
            const listed = await deps.vmList();
            records = new Map(listed.map(record => [record.vm, record]));
        }
        catch (error) {
            deps.logger.warn("vmListFailed", { code: codeOf(error).name, known: records.size });
        }
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            // Not awaited, so that a read that hangs does not stop the polling.
            void readOnce();
            await deps.clock.sleep(deps.intervalMs, stopped.signal);
        }
    }

    return {
        start: () => void run(),
        stop: () => stopped.abort(),
        listEntryAddresses: () =>
            [...records.values()]
                .filter(record => record.role === "entry" && record.state === "live")
                .map(record => record.address),
        isLeaving: vm => records.get(vm)?.state === "leaving",
        isListed: vm => records.has(vm),
    };
}
