import type { LotId } from "@auburnarch/lots/LotId";
import type { PeerView } from "../peers/PeerView.js";

/** A peer that was heard this lately has not taken over a job and recorded results for it. Two probes and an answer. */
const peerHeardMs = 900;

/** Whether no peer can be recording results of a job that runs here, nor has recorded any of which this one was not told. */
export function isSoleWriter(lot: LotId, peers: PeerView[]): boolean {
    return peers.every(({ isAlive, heardMs, status }) => {
        const runsIt = status?.running.some(each => each.lot === lot) === true;
        const ranIt = status?.keptLots.includes(lot) === true;
        return isAlive && heardMs < peerHeardMs && !runsIt && !ranIt;
    });
}
