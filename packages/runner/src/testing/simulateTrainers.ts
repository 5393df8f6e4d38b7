import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createLogger } from "@auburnarch/log/createLogger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { createSimulatedFleet } from "./createSimulatedFleet.js";
import { drawBatchJob } from "./drawBatchJob.js";
import type { SimulatedLoad } from "./SimulatedLoad.js";
import type { TrainerRecord } from "./TrainerRecord.js";

interface SimulationReport {
    records: TrainerRecord[];
    lines: string[];
}

const host = "rollout.test";
const intervalMs = 4_000;
const abandonAfterMs = 12_000;
const trainMs = 700;
/** The first steps are submitted after the runners have started. */
const firstStepMs = 200;
const neededShare = 0.9;

/**
 * Plays several trainers on shared samplers under a fake clock. Step k of a trainer is submitted at its time, or later
 * once the trainer has trained on step k - 2.
 */
export async function simulateTrainers(load: SimulatedLoad): Promise<SimulationReport> {
    const clock = createFakeClock();
    const lines: string[] = [];
    const logger = createLogger(clock, line => lines.push(line));
    const policies = load.groups.map((_, at) => `p${at}` as PolicyId);
    const events = new Map<string, number>();
    const records: TrainerRecord[] = [];
    const fleet = createSimulatedFleet({
        load,
        host,
        policies,
        eventsOf: item => events.get(item)!,
        clock,
        random: createRandom(load.seed),
        logger,
    });

    /** Resolves once the trainer has the groups of a step that it needs, or gives the step up. */
    function runStep(batchJob: BatchJob, groups: number, dueAtMs: number): Promise<void> {
        const submittedAtMs = clock.monotonicMs();
        const record: TrainerRecord = {
            policy: batchJob.policy!,
            step: batchJob.step,
            lateMs: Math.round(submittedAtMs - dueAtMs),
            tookMs: undefined,
        };
        records.push(record);
        const groupOf = new Map(batchJob.items.map(({ item, group }) => [item, group]));
        const openOfGroup = new Map(batchJob.items.map(({ group }) => [group, load.groupSize]));
        let missingGroups = Math.ceil(groups * neededShare);
        return new Promise(resolve => {
            const end = (): void => {
                cancel();
                fleet.end(batchJob);
                resolve();
            };
            const cancel = clock.startTimer(abandonAfterMs, end);
            fleet.submit(batchJob, item => {
                const group = groupOf.get(item);
                openOfGroup.set(group, openOfGroup.get(group)! - 1);
                missingGroups -= openOfGroup.get(group) === 0 ? 1 : 0;
                if (missingGroups === 0 && record.tookMs === undefined) {
                    record.tookMs = Math.round(clock.monotonicMs() - submittedAtMs);
                    end();
                }
            });
        });
    }

    async function train(trainer: number): Promise<void> {
        const random = createRandom(load.seed * 100 + trainer);
        const firstAtMs = firstStepMs + trainer * intervalMs / load.groups.length;
        const groups = load.groups[trainer]!;
        const shape = { host, policy: policies[trainer]!, groups, groupSize: load.groupSize };
        const trained: Promise<void>[] = [];
        for (let step = 0; firstAtMs + step * intervalMs < load.endsAtMs; step++) {
            const dueAtMs = firstAtMs + step * intervalMs;
            const batchJob = drawBatchJob({ ...shape, step }, random, events);
            await Promise.all([
                clock.sleep(Math.max(0, dueAtMs - clock.monotonicMs())),
                trained[step - 2],
            ]);
            if (clock.monotonicMs() > load.endsAtMs) {
                return;
            }
            const delayMs = trainer === 0 && step === load.delayedStep ? load.delayMs : 0;
            const delivered = runStep(batchJob, groups, dueAtMs).then(() => clock.sleep(delayMs));
            trained.push(Promise.all([delivered, trained[step - 1]]).then(() => clock.sleep(trainMs)));
        }
    }

    policies.forEach((_, trainer) => void train(trainer));
    await clock.advance(load.endsAtMs + abandonAfterMs + trainMs);
    await fleet.stop();
    return { records, lines };
}
