import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SidecarProcess } from "../SidecarProcess.js";

/** Sees what truly happens at the backend servers, and judges by it. */
export interface Witness {
    /** Work reached a sidecar. */
    noteArrival(
        node: string,
        work: { attempt: AttemptId; budgetMs: number; digest: ContentDigest; },
        sidecar: SidecarProcess,
    ): void;
    noteSample(attempt: SampleAttempt): void;
    /** A sender was told how its attempt ended. */
    noteOutcome(attempt: string, outcome: AttemptOutcome<unknown>): void;
    /** Prompts of samples of which an attempt ended without an answer: what a death may be blamed on. */
    promptsCutShort(): string[];
    /** An engine began to run an attempt. */
    noteEngineStart(node: string, request: EngineRequest): void;
    noteEngineEnd(node: string, attempt: string, isClean: boolean): void;
    /** An order reached a sidecar. */
    noteOrderArrival(order: EngineOrder, sidecar: SidecarProcess): void;
    /** An engine made tokens of an attempt with `version`. */
    noteTokens(attempt: string, version: number, tokens: number): void;
    noteEngineOrder(node: string, order: EngineOrder, served: number, sidecar: SidecarProcess): void;
    /** An engine that states no versions was told to swap while `running` samples ran. */
    noteMixedSwap(node: string, running: number): void;
    notePlainStart(node: string, request: PlainRequest): void;
    /** The platform marked the node's VM as leaving; undefined once a fresh VM is there. */
    setLeaving(node: string, sinceMs: number | undefined): void;
    /** A trainer took a page in. */
    judgePage(page: GroupsPage): void;
    /** Judgements that need the whole run. */
    judgeEnd(): void;
    /** How often requests with this key truly ran. */
    plainRuns(key: string): number;
}
