import type { SoakBed } from "./SoakBed.js";
import type { Trouble } from "./Trouble.js";
import type { Witness } from "./Witness.js";

/** A sampler that is said to leave gets nothing new after this time from processes that are in touch. */
const drainDueMs = 2_000;
/** Processes are in touch this long after the end of any trouble that may hide the change from them. */
const inTouchAfterMs = 3_000;
/** These keep no process from the store. */
const harmless = new Set<Trouble["kind"]>([
    "samplerLink",
    "replaceSampler",
    "leaveSampler",
    "breakStreams",
    "changeConfiguration",
    "reload",
]);

/** Checks that samplers that left got nothing new while every process was in touch. */
export function checkLeft(
    bed: Pick<SoakBed, "samplers" | "leftAtMs">,
    witness: Witness,
    troubles: Trouble[],
): void {
    const hiding = troubles.filter(({ kind }) => !harmless.has(kind));
    const isCalm = (atMs: number): boolean =>
        hiding.every(({ fromMs, untilMs }) => untilMs + inTouchAfterMs < atMs || fromMs > atMs);
    for (const sampler of bed.samplers) {
        const leftAtMs = bed.leftAtMs.get(sampler.id) ?? Infinity;
        const late = sampler.runs().filter(({ atMs }) => atMs > leftAtMs + drainDueMs && isCalm(atMs));
        witness.check(late.length === 0, "a sampler that left gets nothing new", {
            sampler: sampler.id,
            leftAtMs,
            late,
        });
    }
}
