import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PeerView } from "../peers/PeerView.js";
import type { RunnerStatus } from "../peers/RunnerStatus.js";

/** Creates the view of an idle peer that has just answered, with the given overrides of its status. */
export function createPeerView(
    name: string,
    overrides: Partial<RunnerStatus> = {},
    isAlive = true,
): PeerView {
    const idle: RunnerStatus = {
        incarnation: name,
        failureDomain: "lugo" as FailureDomain,
        running: [],
        keptLots: [],
        sent: {},
        holdsWeights: false,
        isLeaving: false,
        storeSilentMs: 0,
    };
    return { name, isAlive, answerAgeMs: 0, status: { ...idle, ...overrides } };
}
