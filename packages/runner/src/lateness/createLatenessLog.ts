import type { PolicyId } from "@auburnarch/types/PolicyId";
import { isLate } from "./isLate.js";
import type { LatenessDeps } from "./LatenessDeps.js";
import type { StepStatus } from "./StepStatus.js";
import type { TrainerLateness } from "./TrainerLateness.js";

interface LatenessLog {
    recordLateness(lateness: ReadonlyMap<PolicyId, TrainerLateness>, ownSteps: readonly StepStatus[]): void;
    recordYield(own: StepStatus, other: StepStatus): void;
}

/** Logs changes of lateness, from the runner of the trainer's newest step only, and each yield between two steps once. */
export function createLatenessLog(
    { logger, metrics, entries }: Pick<LatenessDeps, "logger" | "metrics" | "entries">,
): LatenessLog {
    const reported = new Set<PolicyId>();
    /** The last logged lateness by policy. */
    const logged = new Map<PolicyId, number>();
    const yields = new Map<string, Set<string>>();

    const submittedAtMs = ({ lot }: StepStatus): number => entries.objects()?.get(lot)?.submittedAtMs ?? 0;

    function newestOf(policy: PolicyId, ownSteps: readonly StepStatus[]): StepStatus | undefined {
        return ownSteps
            .filter(step => step.policy === policy)
            .sort((a, b) => submittedAtMs(b) - submittedAtMs(a))[0];
    }

    function logChange(policy: PolicyId, trainer: TrainerLateness, newest: StepStatus): void {
        const latenessMs = isLate(trainer) ? Math.round(trainer.latenessMs) : 0;
        if (latenessMs !== (logged.get(policy) ?? 0)) {
            logged.set(policy, latenessMs);
            const intervalMs = Math.round(trainer.intervalMs);
            logger.info("trainerLate", { policy, lot: newest.lot, latenessMs, intervalMs });
        }
    }

    return {
        recordLateness: (lateness, ownSteps) => {
            for (const policy of [...reported].filter(each => !lateness.has(each))) {
                metrics.set("trainer_lateness_ms", { policy }, 0);
                reported.delete(policy);
                logged.delete(policy);
            }
            for (const [policy, trainer] of lateness) {
                metrics.set("trainer_lateness_ms", { policy }, Math.round(trainer.latenessMs));
                reported.add(policy);
                const newest = newestOf(policy, ownSteps);
                if (newest !== undefined) {
                    logChange(policy, trainer, newest);
                }
            }
            const open = new Set<string>(ownSteps.map(step => step.lot));
            [...yields.keys()].filter(lot => !open.has(lot)).forEach(lot => yields.delete(lot));
        },
        recordYield: (own, other) => {
            const known = yields.get(own.lot) ?? new Set<string>();
            yields.set(own.lot, known);
            if (!known.has(other.lot)) {
                known.add(other.lot);
                logger.info("stepYielded", {
                    lot: own.lot,
                    policy: own.policy,
                    slackMs: own.slackMs,
                    waitingItems: own.waitingItems,
                    runningItems: own.runningItems,
                    to: other.lot,
                    toPolicy: other.policy,
                    toSlackMs: other.slackMs,
                    toLatenessMs: other.latenessMs,
                });
            }
        },
    };
}
