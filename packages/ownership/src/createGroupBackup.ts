import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Logger } from "@auburnarch/types/Logger";
import type { GroupBackup } from "./GroupBackup.js";
import type { JobState } from "./JobState.js";
import type { OpenStep } from "./OpenStep.js";
import { parseStoredGroup } from "./parseStoredGroup.js";

/** Longest that a takeover waits for stored groups; generating them again is slower but always possible. */
const restoreTimeoutMs = 5_000;

interface GroupBackupDeps {
    groupStore: GroupStore | undefined;
    state: JobState;
    fencing: FencingNumber;
    clock: Clock;
    logger: Logger;
}

/** Creates the group backup on top of a group store; without a store it does nothing. */
export function createGroupBackup(deps: GroupBackupDeps): GroupBackup {
    const { groupStore, state, fencing, clock, logger } = deps;
    const { job } = state.job;

    function logFailure(action: string, step: number): (error: unknown) => void {
        return error => {
            const code = codeOf(error);
            logger.warn("keepFailed", { action, step, code: code.number, name: code.name });
        };
    }

    async function load(step: number): Promise<{ group: number; fencing: number; body: string; }[]> {
        if (groupStore === undefined) {
            return [];
        }
        const timeout = clock.sleep(restoreTimeoutMs).then(() => []);
        const loaded = groupStore.load(job, step).catch((error: unknown) => {
            logFailure("load", step)(error);
            return [];
        });
        return await Promise.race([loaded, timeout]);
    }

    async function restore(step: OpenStep): Promise<number> {
        const records = await load(step.document.step);
        // A record of a newer owner is ignored: it shows that this owner is fenced and about to stop.
        const usable = records
            .filter(record => record.fencing <= fencing)
            .sort((a, b) => b.fencing - a.fencing);
        const groups = usable
            .flatMap(record => parseStoredGroup(job, step.document, record.body, state.bounds()) ?? []);
        groups.flatMap(group => group.samples).forEach(sample => step.ledger.commit(sample));
        logger.info("groupsRestored", {
            step: step.document.step,
            records: records.length,
            usable: groups.length,
        });
        return groups.length;
    }

    return {
        save: (step, group) => {
            const record = {
                job,
                step: step.document.step,
                group: group.group,
                fencing,
                body: JSON.stringify(group),
            };
            void groupStore?.save(record).catch(logFailure("save", record.step));
        },
        drop: (step, groups) => {
            if (groups.length > 0) {
                void groupStore?.drop(job, step.document.step, [...groups]).catch(
                    logFailure("drop", step.document.step),
                );
            }
        },
        restore,
    };
}
