import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { Simulation } from "../Simulation.js";

/** A process that could reach the object API for so long must have learnt who holds the lease. */
const leaseVisibleWithinMs = 3_300;

/** A sidecar port whose senders are judged: what they send, and what they are told. */
export function createCheckedSidecar(simulation: Simulation, from: string, port: SidecarPort): SidecarPort {
    const { violations, observer: witness } = simulation;

    /** True owners only, unless the object API was out of reach lately. */
    function checkOwner(fencing: number, what: string): void {
        const mustKnowOwner = simulation.storeReachableForMs(from) > leaseVisibleWithinMs;
        if (mustKnowOwner && fencing < simulation.trueFencing()) {
            violations.add(
                "actedPastLease",
                `${from}: ${what} under ${fencing}, ${simulation.trueFencing()} holds`,
            );
        }
    }

    /** A sidecar of a broken build: the answer is complete but leaves out what made its tokens. */
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
            witness.recordSample(attempt);
            const outcome = await port.runSample(attempt, onSpan, signal);
            witness.recordOutcome(attempt.attempt, outcome);
            return corrupt(outcome);
        },
        callPlain: async (request, signal) => {
            const outcome = await port.callPlain(request, signal);
            witness.recordOutcome(request.attempt, outcome);
            return outcome;
        },
        order: order => {
            checkOwner(order.order.fencing, "order");
            return port.order(order);
        },
    };
}
