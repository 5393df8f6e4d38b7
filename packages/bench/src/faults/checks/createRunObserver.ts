import type { Clock } from "@auburnarch/types/Clock";
import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import type { SidecarProcess } from "../SidecarProcess.js";
import { checkReport } from "./checkReport.js";
import { createSuspectIsolationCheck } from "./createSuspectIsolationCheck.js";
import { createTokenRecord } from "./createTokenRecord.js";
import type { RunObserver } from "./RunObserver.js";
import type { Violations } from "./Violations.js";

/** A leaving VM must get no new work after this time. */
const leavingGraceMs = 3_000;
const deadlineSlackMs = 50;

interface Arrival {
    node: string;
    atMs: number;
    budgetMs: number;
    digest: string;
    process: SidecarProcess;
}

const keyHeader = "idempotency-key";

/** Creates an observer. */
export function createRunObserver(
    clock: Clock,
    violations: Violations,
    listSuspects: () => ReadonlyMap<string, number>,
): RunObserver {
    const arrivals = new Map<string, Arrival>();
    const samples = new Map<string, SampleAttempt>();
    const started = new Set<string>();
    const notRun = new Set<string>();
    const interruptedPrompts = new Set<string>();
    const runsByKey = new Map<string, number>();
    const leavingSinceMs = new Map<string, number | undefined>();
    const tokens = createTokenRecord();
    const suspectIsolation = createSuspectIsolationCheck(violations, clock.wallMs, listSuspects);
    /** Orders that arrived after the shutdown of their sidecar had begun. */
    const lateOrders = new Map<SidecarProcess, Set<string>>();
    const highestStarted = new Map<SidecarProcess, number>();

    function checkStart(attempt: string): void {
        const arrival = arrivals.get(attempt);
        if (started.has(attempt)) {
            violations.add("ranTwice", `attempt ${attempt}`);
        }
        started.add(attempt);
        if (arrival === undefined) {
            return;
        }
        const leavingAtMs = leavingSinceMs.get(arrival.node);
        if (leavingAtMs !== undefined && arrival.atMs > leavingAtMs + leavingGraceMs) {
            violations.add("workAfterLeave", `${arrival.node}, ${arrival.atMs - leavingAtMs} ms after`);
        }
        const { shutdownAtMs } = arrival.process;
        if (shutdownAtMs !== undefined && arrival.atMs > shutdownAtMs) {
            violations.add("workAfterShutdown", arrival.node);
        }
        if (clock.monotonicMs() > arrival.atMs + arrival.budgetMs + deadlineSlackMs) {
            violations.add("ranPastDeadline", `attempt ${attempt}`);
        }
    }

    function checkFencing(attempt: SampleAttempt): void {
        const process = arrivals.get(attempt.attempt)?.process;
        if (process === undefined) {
            return;
        }
        const highest = highestStarted.get(process) ?? 0;
        if (attempt.fencing < highest) {
            violations.add("fencedWorkRan", `${attempt.sample}: ${attempt.fencing} after ${highest}`);
        }
        highestStarted.set(process, Math.max(highest, attempt.fencing));
    }

    return {
        recordArrival: (node, { attempt, budgetMs, digest }, process) => {
            if (!arrivals.has(attempt)) {
                arrivals.set(attempt, { node, atMs: clock.monotonicMs(), budgetMs, digest, process });
            }
        },
        recordSample: attempt => {
            samples.set(attempt.attempt, attempt);
            tokens.recordAttempt(attempt);
        },
        recordOutcome: (attempt, outcome) => {
            if (outcome.kind === "notRun") {
                notRun.add(attempt);
            }
            const sample = samples.get(attempt);
            if (outcome.kind === "unknown" && sample !== undefined) {
                interruptedPrompts.add(sample.prompt);
            }
        },
        listInterruptedPrompts: () => [...interruptedPrompts],
        recordEngineStart: (node, request) => {
            checkStart(request.attempt);
            suspectIsolation.start(node, request.attempt, arrivals.get(request.attempt));
            const attempt = samples.get(request.attempt);
            if (attempt === undefined) {
                return;
            }
            checkFencing(attempt);
            checkReport(violations, node, attempt, arrivals.get(attempt.attempt)?.process.sidecar.report());
            tokens.begin(request.attempt, request.resumeTokens);
        },
        recordEngineEnd: suspectIsolation.end,
        recordOrderArrival: (order, process) => {
            if (order.kind === "load" && process.shutdownAtMs !== undefined) {
                const late = lateOrders.get(process) ?? new Set<string>();
                lateOrders.set(process, late.add(`${order.version} ${order.fencing}`));
            }
        },
        recordTokens: tokens.add,
        recordEngineOrder: (node, order, served, process) => {
            if (order.kind !== "load") {
                return;
            }
            if (order.fencing < process.startedAtFencing) {
                violations.add("oldOrderRan", `${node}: ${order.fencing} before ${process.startedAtFencing}`);
            }
            if (order.version < served) {
                violations.add("weightsWentBack", `${node}: ${served} to ${order.version}`);
            }
            if (lateOrders.get(process)?.has(`${order.version} ${order.fencing}`) === true) {
                violations.add("orderAfterShutdown", node);
            }
        },
        recordMixedSwap: (node, count) => violations.add("swappedUnderSample", `${node}: ${count} running`),
        recordPlainStart: (_node, request) => {
            checkStart(request.attempt);
            const key = request.headers[keyHeader];
            if (key === undefined) {
                return;
            }
            runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
            if (!request.idempotent && runsByKey.get(key)! > 1) {
                violations.add("ranTwice", `${request.method} ${request.path} key ${key}`);
            }
        },
        setLeaving: (node, sinceMs) => void leavingSinceMs.set(node, sinceMs),
        checkPage: page => {
            const wrong = page.groups.flatMap(group =>
                group.samples.flatMap(sample => tokens.findWrong(sample) ?? [])
            );
            wrong.forEach(detail => violations.add("provenanceWrong", detail));
        },
        checkAtEnd: () => {
            for (const attempt of notRun) {
                if (started.has(attempt)) {
                    violations.add("notRunButRan", `attempt ${attempt}`);
                }
            }
        },
        countPlainRuns: key => runsByKey.get(key) ?? 0,
    };
}
