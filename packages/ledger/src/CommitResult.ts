/** What a commit did: it counted, it counted and made its group whole, or an earlier attempt had won. */
export type CommitResult = "counted" | "groupWhole" | "late";
