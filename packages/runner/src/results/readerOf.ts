import type { LotId } from "@auburnarch/lots/LotId";
import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import type { PeerView } from "../peers/PeerView.js";

/** The runner that reads a job for all once nobody holds its results; undefined if that is this one. */
export function readerOf(lot: LotId, self: string, peers: PeerView[]): string | undefined {
    const able = peers.filter(peer => peer.isAlive && peer.status?.isLeaving === false).map(peer =>
        peer.name
    );
    const [reader] = rankByRendezvous(lot, [self, ...able], name => name);
    return reader === self ? undefined : reader;
}
