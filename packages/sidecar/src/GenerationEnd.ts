import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";

/**
 * How a generation at the engine ended. `lost` means that its result must not be used: the engine crashed, or the
 * version that produced it is unknown.
 */
export type GenerationEnd =
    | {
        kind: "ended";
        spans: TokenSpan[];
        complete: boolean;
        tokens: number;
        engineMs: number;
        cachedPromptTokens: number;
    }
    | { kind: "rejected"; code: ResultCode; }
    | { kind: "lost"; code: ResultCode; tokens: number; engineMs: number; };
