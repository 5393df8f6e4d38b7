import type { LotId } from "@auburnarch/lots/LotId";
import type { PeerView } from "../peers/PeerView.js";

/** The living peer that runs a job, or ran it lately and has its results. */
export function holderOf(lot: LotId, peers: PeerView[]): string | undefined {
    const alive = peers.filter(peer => peer.isAlive);
    const runs = alive.find(peer => peer.status?.running.some(each => each.lot === lot) === true);
    const keeps = alive.find(peer => peer.status?.keptLots.includes(lot) === true);
    return (runs ?? keeps)?.name;
}
