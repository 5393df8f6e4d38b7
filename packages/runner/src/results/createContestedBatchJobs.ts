import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { PeerView } from "../peers/PeerView.js";

/**
 * Creates a view of which batch jobs other runners have, or may have had, too: a peer that has restarted since the
 * last call no longer reports what it ran before.
 */
export function createContestedBatchJobs(): (peers: PeerView[]) => (batchJobId: BatchJobId) => boolean {
    const incarnations = new Map<string, string>();
    return peers => {
        const running = new Set(peers.flatMap(({ status }) => status?.running.map(each => each.lot) ?? []));
        let hasAnyRestarted = false;
        for (const { name, status } of peers) {
            const before = incarnations.get(name);
            if (status !== undefined && before !== status.incarnation) {
                hasAnyRestarted ||= before !== undefined;
                incarnations.set(name, status.incarnation);
            }
        }
        return batchJobId => hasAnyRestarted || running.has(batchJobId);
    };
}
