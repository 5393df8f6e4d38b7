import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PeerView } from "./PeerView.js";

/** Number of runs that live peers have in flight at a sampler, by their latest answers. */
export function countPeerRuns(sampler: IncarnationId, peers: PeerView[]): number {
    return peers
        .filter(({ isAlive }) => isAlive)
        .reduce((sum, { status }) => sum + (status?.sent[sampler] ?? 0), 0);
}
