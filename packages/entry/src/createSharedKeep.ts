import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { GroupKeep } from "@auburnarch/types/GroupKeep";
import type { Logger } from "@auburnarch/types/Logger";
import { z } from "zod";
import type { Keeper } from "./Keeper.js";
import type { PeerCall } from "./PeerCall.js";

type KeepRecord = Parameters<GroupKeep["save"]>[0];

const callTimeoutMs = 2_000;
/** Copies of each group: one VM with a data folder may vanish together with the owner. */
const copies = 2;

const recordsSchema = z.array(z.object({ group: z.number(), fencing: z.number(), body: z.string() }));

interface SharedKeepDeps {
    self: string;
    local: GroupKeep | undefined;
    /** Entries with a data folder believed alive, this one included if it has one. */
    listKeepers: () => Keeper[];
    callPeer: PeerCall;
    logger: Logger;
}

/**
 * Keeps groups on the VMs with a data folder, wherever the owner runs, so that an owner that takes over need not
 * make them again. Losing a copy costs work and never truth: a failed save is logged and the step goes on.
 */
export function createSharedKeep(deps: SharedKeepDeps): GroupKeep {
    const { self, local, callPeer, logger } = deps;

    function chosen(job: string, step: number): Keeper[] {
        return rankByRendezvous(`${job}/${step}`, deps.listKeepers(), keeper => keeper.entry).slice(
            0,
            copies,
        );
    }

    function call<T>(
        keeper: Keeper,
        method: string,
        params: unknown,
        here: (keep: GroupKeep) => Promise<T>,
    ): Promise<unknown> {
        if (keeper.entry === self) {
            return local === undefined ? Promise.reject(new Error("no data folder")) : here(local);
        }
        return callPeer(keeper.address, method, params, callTimeoutMs);
    }

    async function save(record: KeepRecord): Promise<void> {
        const keepers = chosen(record.job, record.step);
        const saved = await Promise.allSettled(
            keepers.map(keeper => call(keeper, "keepSave", record, keep => keep.save(record))),
        );
        if (keepers.length > 0 && !saved.some(each => each.status === "fulfilled")) {
            logger.warn("groupNotKept", {
                job: record.job,
                step: record.step,
                group: record.group,
                keepers: saved.length,
            });
        }
    }

    async function loadFrom(keeper: Keeper, job: string, step: number): ReturnType<GroupKeep["load"]> {
        const loaded = await call(keeper, "keepLoad", { job, step }, keep => keep.load(job, step)).catch(
            () => [],
        );
        const parsed = recordsSchema.safeParse(loaded);
        return parsed.success ? parsed.data : [];
    }

    /** Every keeper is asked: who was chosen at the time of the save may differ from who would be now. */
    async function load(job: string, step: number): ReturnType<GroupKeep["load"]> {
        const loaded = await Promise.all(deps.listKeepers().map(keeper => loadFrom(keeper, job, step)));
        const newest = new Map<number, Awaited<ReturnType<GroupKeep["load"]>>[number]>();
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
            chosen(job, step).map(keeper =>
                call(keeper, "keepDrop", params, keep => keep.drop(job, step, groups))
            ),
        );
    }

    return { save, load, drop };
}
