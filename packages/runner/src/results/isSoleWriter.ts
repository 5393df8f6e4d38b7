import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PeerView } from "../peers/PeerView.js";

/**
 * A peer that answered this recently has not taken over a batch job and recorded results for it. Two probe intervals
 * and an answer.
 */
const maxAnswerAgeMs = 900;

/**
 * Whether no peer can be recording results of a batch job that runs here, or has recorded any that are unknown here.
 */
export function isSoleWriter(batchJobId: BatchJobId, peers: PeerView[]): boolean {
    return peers.every(({ isAlive, answerAgeMs, status }) => {
        const runsIt = status?.running.some(each => each.lot === batchJobId) === true;
        const ranIt = status?.keptLots.includes(batchJobId) === true;
        return isAlive && answerAgeMs < maxAnswerAgeMs && !runsIt && !ranIt;
    });
}
