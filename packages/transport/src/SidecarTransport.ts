import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { Clock } from "@auburnarch/types/Clock";
import type { Agent } from "node:http";
import type { createIncarnationTracker } from "./createIncarnationTracker.js";
import type { SendGuards } from "./SendGuards.js";

/** What the calls to one sidecar share. */
export interface SidecarTransport {
    host: string;
    port: number;
    agent: Agent;
    clock: Clock;
    guards: SendGuards;
    /** Headers of every message. */
    commonHeaders: Record<string, string>;
    incarnations: ReturnType<typeof createIncarnationTracker>;
    query: (attempt: AttemptId) => Promise<AttemptState>;
    /** Learns the sidecar's incarnation if none is known. Never rejects. */
    learnIncarnation: () => Promise<void>;
}
