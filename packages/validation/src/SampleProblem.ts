/** Why a made sample does not count. Its task is run again and its engine time is overhead. */
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
