import type { CrashInducingSend } from "./CrashInducingSend.js";
import type { FaultInterval } from "./FaultInterval.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import type { SoakTestBed } from "./SoakTestBed.js";

const crashesBeforeLimit = 3;
const allowedRetries = 3;
/** A gateway is connected again this long after a disturbance; retries count this long after the third crash. */
const settleMs = 3_000;
const harmlessStatusesChecked = 10;
const minHarmlessServed = 5;
const ok = 200;

/** Faults that cut processes off from the store. */
const disconnectingKinds = new Set<FaultInterval["kind"]>(["storeMode", "storeLink", "changeSettings"]);

/**
 * Checks that gateways which ran and reached the store sent the crash-inducing request few times after its third crash,
 * and that the harmless content beside it is served in the end.
 */
export function checkCrashInducing(
    bed: Pick<SoakTestBed, "samplers" | "programs">,
    checker: PromiseChecker,
    { sends, harmlessStatuses, faultIntervals }: {
        sends: readonly CrashInducingSend[];
        harmlessStatuses: readonly number[];
        faultIntervals: readonly FaultInterval[];
    },
): void {
    const gatewayOf = new Map(sends.map(({ requestId, gateway }) => [requestId, gateway]));
    const runs = bed.samplers
        .flatMap(({ id: sampler, runs }) => runs().map(({ id, atMs }) => ({ id, atMs, sampler })))
        .filter(({ id }) => gatewayOf.has(id))
        .sort((a, b) => a.atMs - b.atMs);

    function isConnected(gateway: string, atMs: number): boolean {
        const process = bed.programs.findIndex(program => program.name === gateway);
        const hasRun = bed.programs[process]!.runningSpans().some(({ fromMs, untilMs }) =>
            fromMs + settleMs < atMs && atMs <= untilMs
        );
        const isDisturbed = faultIntervals.some(({ kind, process: struck, fromMs, untilMs }) =>
            disconnectingKinds.has(kind) && (struck ?? process) === process
            && fromMs <= atMs && atMs <= untilMs + settleMs
        );
        return hasRun && !isDisturbed;
    }

    const crashed = [...new Set(runs.map(({ sampler }) => sampler))];
    const third = crashed[crashesBeforeLimit - 1];
    const limitFromMs = settleMs + (runs.find(({ sampler }) => sampler === third)?.atMs ?? Infinity);
    const retries = runs.filter(({ id, atMs }) =>
        atMs > limitFromMs && isConnected(gatewayOf.get(id)!, atMs)
    );
    checker.check(retries.length <= allowedRetries, "a request that crashes samplers gets few retries", {
        crashed: crashed.length,
        limitFromMs,
        retries: retries.map(({ id, atMs }) => `${id}@${Math.round(atMs)} ${gatewayOf.get(id)}`),
    });
    const latest = harmlessStatuses.slice(-harmlessStatusesChecked);
    const isServed = latest.filter(status => status === ok).length >= minHarmlessServed;
    checker.check(isServed, "a harmless content beside it is served again", { latest });
}
