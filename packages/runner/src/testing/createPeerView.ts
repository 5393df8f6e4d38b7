import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PeerView } from "../peers/PeerView.js";
import type { RunnerStatus } from "../peers/RunnerStatus.js";

/** A peer that was heard just now and does nothing, but for what `over` says. */
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
    return { name, isAlive, heardMs: 0, status: { ...idle, ...overrides } };
}
