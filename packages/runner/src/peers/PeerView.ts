import type { RunnerStatus } from "./RunnerStatus.js";

/** A peer as this runner sees it. */
export interface PeerView {
    name: string;
    /** False once probes have failed for too long. */
    isAlive: boolean;
    /** Milliseconds since its last answer, or since its registration was first seen. */
    answerAgeMs: number;
    /** Its last answer; undefined until the first one. */
    status: RunnerStatus | undefined;
}
