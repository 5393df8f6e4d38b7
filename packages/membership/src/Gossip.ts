import type { GossipMessage } from "./GossipMessage.js";

/** Probes between entries, which also carry membership changes. */
export interface Gossip {
    /** Probes a random entry; suspects it if neither direct nor indirect probes reach it. */
    probeOnce(listedAddresses: () => string[]): Promise<void>;
    receive(message: unknown): Promise<GossipMessage>;
    beginLeaving(): void;
}
