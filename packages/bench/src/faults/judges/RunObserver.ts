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
export interface RunObserver {
    /** Work reached a sidecar. */
    recordArrival(
        node: string,
        work: { attempt: AttemptId; budgetMs: number; digest: ContentDigest; },
        process: SidecarProcess,
    ): void;
    recordSample(attempt: SampleAttempt): void;
    /** A sender was told how its attempt ended. */
    recordOutcome(attempt: string, outcome: AttemptOutcome<unknown>): void;
    /** Prompts of samples of which an attempt ended without an answer: what a death may be blamed on. */
    listInterruptedPrompts(): string[];
    /** An engine began to run an attempt. */
    recordEngineStart(node: string, request: EngineRequest): void;
    recordEngineEnd(node: string, attempt: string, isClean: boolean): void;
    /** An order reached a sidecar. */
    recordOrderArrival(order: EngineOrder, process: SidecarProcess): void;
    /** An engine made tokens of an attempt with `version`. */
    recordTokens(attempt: string, version: number, tokens: number): void;
    recordEngineOrder(node: string, order: EngineOrder, served: number, process: SidecarProcess): void;
    /** An engine that states no versions was told to swap while `running` samples ran. */
    recordMixedSwap(node: string, running: number): void;
    recordPlainStart(node: string, request: PlainRequest): void;
    /** The platform marked the node's VM as leaving; undefined once a fresh VM is there. */
    setLeaving(node: string, sinceMs: number | undefined): void;
    /** A trainer took a page in. */
    checkPage(page: GroupsPage): void;
    /** Judgements that need the whole run. */
    checkAtEnd(): void;
    /** How often requests with this key truly ran. */
    countPlainRuns(key: string): number;
}
