import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import { createIncarnationTracker } from "@auburnarch/transport/createIncarnationTracker";
import { resolveBrokenAttempt } from "@auburnarch/transport/resolveBrokenAttempt";
import type { SendGuards } from "@auburnarch/transport/SendGuards";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { Exchange } from "./Exchange.js";
import type { Network } from "./Network.js";
import type { SamplerNode } from "./SamplerNode.js";

interface SidecarLinkDeps {
    network: Network;
    /** The calling process; `from` is its name in the network. */
    process: TestProcess;
    from: string;
    node: SamplerNode;
    guards: SendGuards;
}

type Wire = {
    [Call in Exclude<keyof SidecarPort, "beginLeaving">]: (
        ...args: Parameters<SidecarPort[Call]>
    ) => Promise<Exchange<Awaited<ReturnType<SidecarPort[Call]>>>>;
};

/**
 * Creates the port to a sidecar over the simulated network. It follows the rules of the HTTP port: an attempt that was
 * not written did not run, and after a broken connection the incarnation that the attempt was sent to is queried.
 */
export function createSidecarLink(deps: SidecarLinkDeps): SidecarPort {
    const { network, process, from, node, guards } = deps;
    const incarnations = createIncarnationTracker();
    const callWork = <T>(call: () => Promise<T>): Promise<Exchange<T>> =>
        network.exchange(from, node.name, call);

    /** Sends a control call, which is exempt from faults of single exchanges. */
    const callControl = <T>(call: () => Promise<T>): Promise<Exchange<T>> =>
        network.exchange(`${from}#control`, node.name, call);

    const wire = process.connect<Wire>({
        runSample: (attempt, onSpan, signal) =>
            callWork(() => node.port().runSample(attempt, onSpan, signal)),
        callPlain: (request, signal) => callWork(() => node.port().callPlain(request, signal)),
        queryAttempt: attempt => callControl(() => node.port().queryAttempt(attempt)),
        order: order => callWork(() => node.port().order(order)),
        readReport: () => callControl(() => node.port().readReport()),
        readUsage: () => callControl(() => node.port().readUsage()),
    });

    async function requireAnswer<T>(exchange: Promise<Exchange<T>>): Promise<T> {
        const ended = await exchange;
        if (ended.kind !== "answered") {
            throw new ResultError(resultCodes.sidecarUnreachable, node.name);
        }
        return ended.answer;
    }

    async function queryAttempt(attempt: AttemptId): ReturnType<SidecarPort["queryAttempt"]> {
        const state = await requireAnswer(wire.queryAttempt(attempt));
        incarnations.record(state.incarnation);
        return state;
    }

    async function readReport(): ReturnType<SidecarPort["readReport"]> {
        const report = await requireAnswer(wire.readReport());
        incarnations.record(report.incarnation);
        return report;
    }

    async function send<Answer>(
        attempt: AttemptId,
        call: () => Promise<Exchange<AttemptOutcome<Answer>>>,
    ): Promise<AttemptOutcome<Answer>> {
        if (incarnations.current() === undefined) {
            await readReport().catch(() => undefined);
        }
        const sentTo = incarnations.current();
        const sentAtMs = process.clock.monotonicMs();
        const ended = await call();
        if (ended.kind === "notSent") {
            return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
        }
        if (ended.kind === "answered") {
            return ended.answer;
        }
        const { clock } = process;
        return resolveBrokenAttempt({ attempt, sentTo, sentAtMs, clock, query: queryAttempt, guards });
    }

    return {
        runSample: (attempt, onSpan, signal) =>
            send(attempt.attempt, () => wire.runSample(attempt, onSpan, signal)),
        callPlain: (request, signal) => send(request.attempt, () => wire.callPlain(request, signal)),
        queryAttempt,
        readReport,
        order: order => requireAnswer(wire.order(order)),
        readUsage: () => requireAnswer(wire.readUsage()),
    };
}
