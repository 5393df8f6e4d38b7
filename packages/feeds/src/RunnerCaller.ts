import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { RunnerRedirect } from "./RunnerRedirect.js";

/** Sends queries to runners and follows their redirects. */
export interface RunnerCaller {
    /**
     * Asks `first`, or another runner if it is unknown or did not answer lately; never one of `excluded`. Undefined if
     * none answered, or they only redirected to each other.
     */
    ask<T extends { kind: string; }>(
        first: string | undefined,
        send: (address: RunnerAddress, runner: string) => Promise<T>,
        excluded?: readonly string[],
    ): Promise<{ runner: string; answer: Exclude<T, RunnerRedirect>; } | undefined>;
    /** Runners that did not answer lately. */
    listSilent(): string[];
}
