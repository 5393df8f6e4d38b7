/** Kind of the stored objects that contain the `RunnerAddress` of each runner, keyed by the runner's name. */
export const runnersKind = "runners";
