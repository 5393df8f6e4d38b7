import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PeerView } from "../peers/PeerView.js";

/**
 * Makes the view of which jobs other runners have too, or may have had: a peer that has started anew since the last look
 * says nothing of what it ran before.
 */
export function createContestedBatchJobs(): (peers: PeerView[]) => (batchJobId: BatchJobId) => boolean {
    const incarnations = new Map<string, string>();
    return peers => {
        const running = new Set(peers.flatMap(({ status }) => status?.running.map(each => each.lot) ?? []));
        let isAnyNew = false;
        for (const { name, status } of peers) {
            const before = incarnations.get(name);
            if (status !== undefined && before !== status.incarnation) {
                isAnyNew ||= before !== undefined;
                incarnations.set(name, status.incarnation);
            }
        }
        return lot => isAnyNew || running.has(lot);
    };
}
