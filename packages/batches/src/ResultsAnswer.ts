import type { TeamId } from "@auburnarch/types/TeamId";
import type { ResultChunk } from "./ResultChunk.js";

/**
 * What a runner says of a job's results: the chunks that stand in the store from the asked number on (none if there is
 * no further one yet; `hasMore` if more stand there than one answer holds), which other runner has the job, or that it cannot tell.
 */
export type ResultsAnswer =
    | { kind: "known"; total: number; team: TeamId | undefined; chunks: ResultChunk[]; hasMore: boolean; }
    | { kind: "elsewhere"; runner: string; }
    | { kind: "unsure"; };
