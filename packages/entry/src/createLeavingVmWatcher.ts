import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Logger } from "@auburnarch/types/Logger";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { VmList } from "@auburnarch/types/VmList";
import { z } from "zod";
import type { Fleet } from "./Fleet.js";

const documentName = "leaving";
const pollMs = 1_000;
const leavingSchema = z.object({ vms: z.array(z.string()) });

interface LeavingVmWatcherDeps {
    fleet: Fleet;
    vmList: VmList;
    clock: Clock;
    logger: Logger;
}

interface LeavingVmWatcher {
    start(): void;
    stop(): void;
}

/**
 * Notifies the sidecar of a leaving VM within seconds. Only the few relays read the VM list every second; they
 * distribute the leaving VMs as a shared document. An entry that receives the reports of a leaving sampler orders its
 * sidecar to accept no new work. If every process read the VM list every second, it would receive thousands of calls
 * per second.
 */
export function createLeavingVmWatcher(deps: LeavingVmWatcherDeps): LeavingVmWatcher {
    const { fleet, clock, logger } = deps;
    const { documentSync, membership, views } = fleet;
    const stopped = new AbortController();
    const orderedIncarnations = new Set<IncarnationId>();

    function leavingVms(): string[] {
        const parsed = leavingSchema.safeParse(documentSync.get(documentName)?.value);
        return parsed.success ? parsed.data.vms : [];
    }

    async function publishLeavingVms(): Promise<void> {
        const listed = await deps.vmList();
        const vms = listed.filter(record => record.state === "leaving").map(record => record.vm).sort();
        if (JSON.stringify(vms) !== JSON.stringify(leavingVms())) {
            const before = documentSync.get(documentName)?.version ?? 0;
            documentSync.offer({
                name: documentName,
                version: Math.max(before + 1, clock.wallMs()),
                value: { vms },
            });
        }
    }

    async function orderToLeave({ report }: SamplerView): Promise<void> {
        orderedIncarnations.add(report.incarnation);
        try {
            const sidecar = views.sidecar(report.sampler);
            await sidecar.beginLeaving?.();
            membership.acceptReport(await sidecar.readReport());
            logger.info("samplerOrderedOut", { sampler: report.sampler, vm: report.vm });
        }
        catch (error) {
            orderedIncarnations.delete(report.incarnation);
            logger.warn("samplerNotOrderedOut", { sampler: report.sampler, code: codeOf(error).name });
        }
    }

    function orderAllToLeave(): void {
        const leaving = new Set(leavingVms());
        views.listAll()
            .filter(view => leaving.has(view.report.vm) && !orderedIncarnations.has(view.report.incarnation))
            .forEach(view => void orderToLeave(view));
    }

    async function loop(): Promise<void> {
        while (!stopped.signal.aborted) {
            if (membership.isRelay()) {
                await publishLeavingVms().catch(error =>
                    logger.warn("vmListFailed", { code: codeOf(error).name })
                );
            }
            orderAllToLeave();
            await clock.sleep(pollMs, stopped.signal);
        }
    }

    return {
        start: () => {
            documentSync.onChange(document => document.name === documentName && orderAllToLeave());
            void loop();
        },
        stop: () => stopped.abort(),
    };
}
