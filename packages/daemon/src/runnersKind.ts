/** Kind of the store's objects that hold a `RunnerAddress` by the name of its runner. */
export const runnersKind = "runners";
