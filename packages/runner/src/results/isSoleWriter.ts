import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PeerView } from "../peers/PeerView.js";

/** A peer that was heard this lately has not taken over a job and recorded results for it. Two probes and an answer. */
const maxAnswerAgeMs = 900;

/** Whether no peer can be recording results of a job that runs here, nor has recorded any of which this one was not told. */
export function isSoleWriter(batchJobId: BatchJobId, peers: PeerView[]): boolean {
    return peers.every(({ isAlive, heardMs, status }) => {
        const runsIt = status?.running.some(each => each.lot === batchJobId) === true;
        const ranIt = status?.keptLots.includes(batchJobId) === true;
        return isAlive && heardMs < maxAnswerAgeMs && !runsIt && !ranIt;
    });
}
