import type { TeamId } from "@auburnarch/types/TeamId";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * A runner's answer to a results query: the stored chunks from the requested number on (empty if there is no further
 * one yet; `hasMore` if more are stored than fit into one answer), the other runner that has the batch job, or
 * `unsure` if it cannot tell.
 */
export type ResultsAnswer =
    | { kind: "known"; total: number; team: TeamId | undefined; chunks: ResultChunk[]; hasMore: boolean; }
    | { kind: "elsewhere"; runner: string; }
    | { kind: "unsure"; };
