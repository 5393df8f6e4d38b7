import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SampleAnswer } from "@auburnarch/types/SampleAnswer";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { World } from "../World.js";

/** A process that could reach the object API for so long must have learnt who holds the lease. */
const learnMs = 3_300;

/** A sidecar port whose senders are judged: what they send, and what they are told. */
export function createJudgedSidecar(world: World, from: string, port: SidecarPort): SidecarPort {
    const { violations, witness } = world;

    /** True owners only, unless the object API was out of reach lately. */
    function judgeOwner(fencing: number, what: string): void {
        const isLearnable = world.storeReachableForMs(from) > learnMs;
        if (isLearnable && fencing < world.trueFencing()) {
            violations.add(
                "actedPastLease",
                `${from}: ${what} under ${fencing}, ${world.trueFencing()} holds`,
            );
        }
    }

    /** A sidecar of a broken build: the answer is complete but leaves out what made its tokens. */
    function spoil(outcome: AttemptOutcome<SampleAnswer>): AttemptOutcome<SampleAnswer> {
        if (outcome.kind !== "ran" || !outcome.answer.complete || !world.takeSpoiling()) {
            return outcome;
        }
        return { kind: "ran", answer: { ...outcome.answer, spans: [] } };
    }

    return {
        ...port,
        runSample: async (attempt, onSpan, signal) => {
            judgeOwner(attempt.fencing, "sample");
            witness.noteSample(attempt);
            const outcome = await port.runSample(attempt, onSpan, signal);
            witness.noteOutcome(attempt.attempt, outcome);
            return spoil(outcome);
        },
        callPlain: async (request, signal) => {
            const outcome = await port.callPlain(request, signal);
            witness.noteOutcome(request.attempt, outcome);
            return outcome;
        },
        order: order => {
            judgeOwner(order.order.fencing, "order");
            return port.order(order);
        },
    };
}
