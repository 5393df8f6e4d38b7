import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Logger } from "@auburnarch/types/Logger";
import { z } from "zod";
import type { GroupStoreHost } from "./GroupStoreHost.js";
import type { PeerCall } from "./PeerCall.js";

type StoredGroup = Parameters<GroupStore["save"]>[0];

const callTimeoutMs = 2_000;
/** Copies of each group: one VM with a data folder may fail together with the owner. */
const copyCount = 2;

const recordsSchema = z.array(z.object({ group: z.number(), fencing: z.number(), body: z.string() }));

interface ReplicatedGroupStoreDeps {
    self: string;
    local: GroupStore | undefined;
    /** Entries with a data folder that are believed to be alive, including this one if it has a data folder. */
    listHosts: () => GroupStoreHost[];
    callPeer: PeerCall;
    logger: Logger;
}

/**
 * Stores finished groups on the VMs with a data folder, independent of where the owner runs, so that an owner that
 * takes over does not have to generate them again. A lost copy costs work but never correctness: a failed save is
 * logged and the step continues.
 */
export function createReplicatedGroupStore(deps: ReplicatedGroupStoreDeps): GroupStore {
    const { self, local, callPeer, logger } = deps;

    function selectHosts(job: string, step: number): GroupStoreHost[] {
        return rankByRendezvous(`${job}/${step}`, deps.listHosts(), host => host.entry).slice(
            0,
            copyCount,
        );
    }

    function call<T>(
        host: GroupStoreHost,
        method: string,
        params: unknown,
        callLocal: (store: GroupStore) => Promise<T>,
    ): Promise<unknown> {
        if (host.entry === self) {
            return local === undefined ? Promise.reject(new Error("no data folder")) : callLocal(local);
        }
        return callPeer(host.address, method, params, callTimeoutMs);
    }

    async function save(record: StoredGroup): Promise<void> {
        const hosts = selectHosts(record.job, record.step);
        const saved = await Promise.allSettled(
            hosts.map(host => call(host, "keepSave", record, store => store.save(record))),
        );
        if (hosts.length > 0 && !saved.some(each => each.status === "fulfilled")) {
            logger.warn("groupNotKept", {
                job: record.job,
                step: record.step,
                group: record.group,
                keepers: saved.length,
            });
        }
    }

    async function loadFrom(host: GroupStoreHost, job: string, step: number): ReturnType<GroupStore["load"]> {
        const loaded = await call(host, "keepLoad", { job, step }, store => store.load(job, step)).catch(
            () => [],
        );
        const parsed = recordsSchema.safeParse(loaded);
        return parsed.success ? parsed.data : [];
    }

    /** Asks every host: the hosts selected when a group was saved may differ from those that would be selected now. */
    async function load(job: string, step: number): ReturnType<GroupStore["load"]> {
        const loaded = await Promise.all(deps.listHosts().map(host => loadFrom(host, job, step)));
        const newest = new Map<number, Awaited<ReturnType<GroupStore["load"]>>[number]>();
        for (const record of loaded.flat()) {
            const known = newest.get(record.group);
            if (known === undefined || record.fencing > known.fencing) {
                newest.set(record.group, record);
            }
        }
        return [...newest.values()].sort((a, b) => a.group - b.group);
    }

    async function drop(job: string, step: number, groups: number[]): Promise<void> {
        const params = { job, step, groups };
        await Promise.allSettled(
            selectHosts(job, step).map(host =>
                call(host, "keepDrop", params, store => store.drop(job, step, groups))
            ),
        );
    }

    return { save, load, drop };
}
