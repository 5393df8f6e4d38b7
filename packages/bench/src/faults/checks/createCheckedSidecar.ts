import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { Simulation } from "../Simulation.js";

/** A process with access to the object API for this long must know the lease holder. */
const leaseVisibleWithinMs = 3_300;

/** Wraps a sidecar port and checks what its callers send and which outcomes they receive. */
export function createCheckedSidecar(simulation: Simulation, from: string, port: SidecarPort): SidecarPort {
    const { violations, observer } = simulation;

    /** Only the lease holder may send, unless its access to the object API was impaired recently. */
    function checkOwner(fencing: number, what: string): void {
        const mustKnowOwner = simulation.storeReachableForMs(from) > leaseVisibleWithinMs;
        if (mustKnowOwner && fencing < simulation.trueFencing()) {
            violations.add(
                "actedPastLease",
                `${from}: ${what} under ${fencing}, ${simulation.trueFencing()} holds`,
            );
        }
    }

    /** Simulates a defective sidecar: its answer is complete but lacks the spans that name the weights. */
    function corrupt(outcome: AttemptOutcome<SampleAnswer>): AttemptOutcome<SampleAnswer> {
        if (outcome.kind !== "ran" || !outcome.answer.complete || !simulation.takeAnswerCorruption()) {
            return outcome;
        }
        return { kind: "ran", answer: { ...outcome.answer, spans: [] } };
    }

    return {
        ...port,
        runSample: async (attempt, onSpan, signal) => {
            checkOwner(attempt.fencing, "sample");
            observer.recordSample(attempt);
            const outcome = await port.runSample(attempt, onSpan, signal);
            observer.recordOutcome(attempt.attempt, outcome);
            return corrupt(outcome);
        },
        callPlain: async (request, signal) => {
            const outcome = await port.callPlain(request, signal);
            observer.recordOutcome(request.attempt, outcome);
            return outcome;
        },
        order: order => {
            checkOwner(order.order.fencing, "order");
            return port.order(order);
        },
    };
}
