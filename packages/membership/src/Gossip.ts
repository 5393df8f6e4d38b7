import type { GossipMessage } from "./GossipMessage.js";

/** Probes between entries and the changes they carry. */
export interface Gossip {
    /** Probes an entry drawn at random; suspects it if it can be reached neither from here nor through others. */
    probeOnce(listedAddresses: () => string[]): Promise<void>;
    receive(message: unknown): Promise<GossipMessage>;
    beginLeaving(): void;
}
