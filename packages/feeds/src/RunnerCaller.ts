import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { RunnerRedirect } from "./RunnerRedirect.js";

/** Asks runners, from one to the next that it names. */
export interface RunnerCaller {
    /**
     * Asks `first`, or any runner if it is unknown or did not answer lately, and none of `except`. Undefined if none
     * answered, or they only named each other.
     */
    ask<T extends { kind: string; }>(
        first: string | undefined,
        send: (address: RunnerAddress, runner: string) => Promise<T>,
        excluded?: readonly string[],
    ): Promise<{ runner: string; answer: Exclude<T, RunnerRedirect>; } | undefined>;
    /** Those that did not answer lately. */
    listSilent(): string[];
}
