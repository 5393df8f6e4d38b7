import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EngineOrder } from "@auburnarch/types/EngineOrder";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SidecarProcess } from "../SidecarProcess.js";

/** Records what actually happens at the backend servers and checks invariants against it. */
export interface RunObserver {
    /** Records that work reached a sidecar. */
    recordArrival(
        node: string,
        work: { attempt: AttemptId; budgetMs: number; digest: ContentDigest; },
        process: SidecarProcess,
    ): void;
    recordSample(attempt: SampleAttempt): void;
    /** Records the outcome of an attempt as its sender received it. */
    recordOutcome(attempt: string, outcome: AttemptOutcome<unknown>): void;
    /**
     * Prompts of samples of which an attempt ended with an unknown outcome: a crash may have been attributed to them.
     */
    listInterruptedPrompts(): string[];
    /** Records that an engine began to run an attempt. */
    recordEngineStart(node: string, request: EngineRequest): void;
    recordEngineEnd(node: string, attempt: string, isClean: boolean): void;
    /** Records that an order reached a sidecar. */
    recordOrderArrival(order: EngineOrder, process: SidecarProcess): void;
    /** Records that an engine generated tokens of an attempt with `version`. */
    recordTokens(attempt: string, version: number, tokens: number): void;
    recordEngineOrder(node: string, order: EngineOrder, served: number, process: SidecarProcess): void;
    /** Records that an engine that reports no versions was ordered to swap while `running` samples ran. */
    recordMixedSwap(node: string, running: number): void;
    recordPlainStart(node: string, request: PlainRequest): void;
    /** Records since when the platform marks the node's VM as leaving; undefined once a new VM replaced it. */
    setLeaving(node: string, sinceMs: number | undefined): void;
    /** Checks a page of groups that a trainer received. */
    checkPage(page: GroupsPage): void;
    /** Performs the checks that need the whole run. */
    checkAtEnd(): void;
    /** How often requests with this key actually ran. */
    countPlainRuns(key: string): number;
}
