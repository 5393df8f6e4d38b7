import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptState } from "@auburnarch/types/AttemptState";
import type { Clock } from "@auburnarch/types/Clock";
import type { Agent } from "node:http";
import type { createIncarnationTracker } from "./createIncarnationTracker.js";
import type { SendGuards } from "./SendGuards.js";

/** Connection state that all calls to one sidecar share. */
export interface SidecarTransport {
    host: string;
    port: number;
    agent: Agent;
    clock: Clock;
    guards: SendGuards;
    /** Sent with every request. */
    commonHeaders: Record<string, string>;
    incarnations: ReturnType<typeof createIncarnationTracker>;
    query: (attempt: AttemptId) => Promise<AttemptState>;
    /** Asks the sidecar for its incarnation if none is known. Never rejects. */
    learnIncarnation: () => Promise<void>;
}
