import type { LinkMode } from "./LinkMode.js";

/** A change of a settings file, `afterMs` after the one before. */
interface SettingsChangeFault {
    afterMs: number;
    /** Whether a new file replaces the old one, rather than the old one being written anew. */
    isReplaced: boolean;
    isSignalled: boolean;
}

/** One fault; processes and samplers are given by their index in the run. */
export type SoakFault =
    | { kind: "storeMode"; mode: "busy" | "reset" | "loseAnswers"; forMs: number; }
    | { kind: "storeHistory"; }
    | { kind: "storeLink"; process: number; mode: LinkMode; forMs: number; }
    | { kind: "samplerLink"; sampler: number; mode: LinkMode; forMs: number; }
    | { kind: "kill"; process: number; downMs: number; disk: "kept" | "torn" | "wiped"; }
    | { kind: "killAll"; downMs: number; }
    | { kind: "pause"; process: number; forMs: number; }
    | { kind: "terminate"; process: number; downMs: number; }
    | { kind: "reload"; process: number; }
    | { kind: "replaceSampler"; sampler: number; isAnnounced: boolean; }
    | { kind: "leaveSampler"; sampler: number; isAnnounced: boolean; }
    | { kind: "breakStreams"; sampler: number; }
    | { kind: "changeConfiguration"; }
    | { kind: "changeSettings"; process: number; changes: SettingsChangeFault[]; };
