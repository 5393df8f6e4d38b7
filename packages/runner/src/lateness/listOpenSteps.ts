import type { PeerView } from "../peers/PeerView.js";
import type { StepStatus } from "./StepStatus.js";

/** Lists the open steps of this runner and of its live peers; of a step that two runners run, this runner's state. */
export function listOpenSteps(own: readonly StepStatus[], peers: readonly PeerView[]): StepStatus[] {
    const steps = new Map(own.map(step => [step.lot, step]));
    for (const { isAlive, status } of peers) {
        for (const step of isAlive ? status?.steps ?? [] : []) {
            if (!steps.has(step.lot)) {
                steps.set(step.lot, step);
            }
        }
    }
    return [...steps.values()];
}
