/** Why a completed sample does not count. Its task is run again and its engine time counts as overhead. */
export type SampleProblem =
    | "incomplete"
    | "wrongIdentity"
    | "noSpans"
    | "noVersion"
    | "badTokenCount"
    | "tooManyTokens"
    | "staleVersion"
    | "unpublishedVersion"
    | "badEngineTime";
