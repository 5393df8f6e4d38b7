/** Result of a commit: the sample counted, it counted and completed its group, or an earlier attempt had already won. */
export type CommitResult = "counted" | "groupWhole" | "late";
