import type { PeerView } from "./PeerView.js";

/** The other runners. */
export interface PeerRegistry {
    /** False until each registered peer has answered a probe or failed to answer for long enough. */
    isSettled(): boolean;
    peers(): PeerView[];
    /** Probes all peers now, so that they learn of a change here and report theirs. */
    probeNow(): void;
    stop(): void;
}
