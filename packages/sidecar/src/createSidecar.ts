import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { createCompletionRunner } from "./createCompletionRunner.js";
import { createContext } from "./createContext.js";
import { createOrderRunner } from "./createOrderRunner.js";
import { createPlainRunner } from "./createPlainRunner.js";
import { createSampleRunner } from "./createSampleRunner.js";
import { defaultSidecarGuards } from "./defaultSidecarGuards.js";
import { shutdownSidecar } from "./shutdownSidecar.js";
import type { Sidecar } from "./Sidecar.js";
import type { SidecarContext } from "./SidecarContext.js";
import type { SidecarDependencies } from "./SidecarDependencies.js";
import type { SidecarGuards } from "./SidecarGuards.js";

const noVersion = 0 as ConfigVersion;
const limitDuringTrial = 1;

/** Creates the sidecar of one sampler. It does no I/O of its own and runs under any clock. */
export function createSidecar(
    deps: SidecarDependencies,
    guards: SidecarGuards = defaultSidecarGuards,
): Sidecar {
    const { logger, invariants, identity } = deps;
    let manifest: VersionedManifest | undefined;
    let sequence = 0;
    const context = createContext(deps, guards, () => manifest);
    const { flags, weights, slots } = context;
    const runSample = createSampleRunner(context, deps.engine, weights);
    const callPlain = createCallPlain(context);
    const order = deps.engine === undefined || weights === undefined
        ? undefined
        : createOrderRunner(context, deps.engine, weights, report);
    logger.info("gateStarted", { sampler: identity.sampler, incarnation: context.incarnation });

    function currentState(): SamplerReport["state"] {
        if (flags.leaving) {
            return "leaving";
        }
        return weights?.state() ?? (context.plainHealth.isDown() ? "engineDown" : "ready");
    }

    function report(): SamplerReport {
        sequence++;
        return {
            ...identity,
            incarnation: context.incarnation,
            sequence,
            state: currentState(),
            served: weights?.served() ?? [],
            stampsVersions: weights?.stampsChunks() === true,
            running: slots.running(),
            waiting: slots.waiting(),
            // During a trial, senders that choose by load skip this sampler, which accepts no other work.
            limit: context.trialReservation.isReserved() ? limitDuringTrial : context.limit.current(),
            tokensPerSecond: weights?.description()?.tokensPerSecond ?? 0,
            maxBatch: weights?.description()?.maxBatch ?? context.limit.current(),
            configVersion: manifest?.version ?? noVersion,
            suspects: context.suspects.list(),
        };
    }

    function assertNotKilled(): void {
        if (flags.killed) {
            throw new ResultError(resultCodes.sidecarUnreachable, identity.sampler);
        }
    }

    /** Returns what a caller of a killed process sees: no connection, or one that broke. */
    async function unlessKilled<Answer>(
        run: () => Promise<AttemptOutcome<Answer>>,
    ): Promise<AttemptOutcome<Answer>> {
        if (flags.killed) {
            return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
        }
        const outcome = await run();
        return flags.killed ? { kind: "unknown", code: resultCodes.connectionBroken } : outcome;
    }

    function offerManifest(offered: VersionedManifest): boolean {
        const present = manifest?.version ?? noVersion;
        if (flags.killed || !guards.configForward(present, offered.version)) {
            return false;
        }
        const fields = { present, offered: offered.version };
        invariants.check(resultCodes.configReverted, offered.version > present, fields);
        manifest = offered;
        flags.informed = true;
        logger.info("manifestTaken", { configVersion: offered.version, before: present });
        slots.startWaiting();
        return true;
    }

    function offerQuarantine(...offered: Parameters<Sidecar["offerQuarantine"]>): boolean {
        const taken = !flags.killed && context.quarantine.offer(...offered);
        if (taken) {
            logger.info("quarantineTaken", { version: offered[0], records: offered[1].length });
        }
        return taken;
    }

    function beginLeaving(): void {
        if (!flags.leaving) {
            flags.leaving = true;
            logger.info("leavingBegun", { running: slots.running(), waiting: slots.waiting() });
        }
    }

    function shutdown(deadlineMs: number): Promise<void> {
        beginLeaving();
        return shutdownSidecar(context, deadlineMs);
    }

    function kill(): void {
        flags.killed = true;
        weights?.stop();
        [...context.inFlight].forEach(work => work.abort());
    }

    return {
        runSample: (attempt, onSpan, signal) => {
            const forwardSpan: typeof onSpan = span => {
                if (!flags.killed) {
                    onSpan(span);
                }
            };
            return unlessKilled(() => runSample(attempt, forwardSpan, signal));
        },
        callPlain: (request, signal) => unlessKilled(() => callPlain(request, signal)),
        queryAttempt: async attempt => {
            assertNotKilled();
            const state = context.attempts.query(attempt);
            logger.info("attemptQueried", { attempt, state });
            return { incarnation: context.incarnation, state };
        },
        order: async samplerOrder => {
            assertNotKilled();
            if (order === undefined) {
                return { kind: "refused", code: resultCodes.wrongPolicy, report: report() };
            }
            const result = await order(samplerOrder);
            assertNotKilled();
            return result;
        },
        readReport: async () => {
            assertNotKilled();
            return report();
        },
        readUsage: async () => {
            assertNotKilled();
            return context.usage.read();
        },
        report,
        offerManifest,
        offerQuarantine,
        beginLeaving,
        shutdown,
        kill,
    };
}

function createCallPlain(context: SidecarContext): SidecarPort["callPlain"] {
    const { engine, backend } = context.deps;
    if (engine !== undefined && context.weights !== undefined) {
        return createCompletionRunner(context, engine, context.weights);
    }
    if (backend !== undefined) {
        return createPlainRunner(context, backend);
    }
    throw new ResultError(resultCodes.settingsInvalid, "a sidecar needs an engine or a backend");
}
