import type { ForwardPlain } from "@auburnarch/entry/ForwardPlain";
import { outcomeOfError } from "@auburnarch/entry/outcomeOfError";
import type { PeerCall } from "@auburnarch/entry/PeerCall";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { createCheckedSidecar } from "./checks/createCheckedSidecar.js";
import { createSidecarLink } from "./createSidecarLink.js";
import type { EntryNode } from "./EntryNode.js";
import type { SamplerNode } from "./SamplerNode.js";
import type { Simulation } from "./Simulation.js";

interface EntryPortsDeps {
    name: string;
    process: TestProcess;
    entries: () => EntryNode[];
    samplers: () => SamplerNode[];
}

/** An entry's connections to other processes. */
interface EntryPorts {
    callPeer: PeerCall;
    forwardPlain: ForwardPlain;
    connectSidecar: (report: SamplerReport) => SidecarPort;
}

/** Creates an entry's ports over the simulated network. */
export function createEntryPorts(simulation: Simulation, deps: EntryPortsDeps): EntryPorts {
    const { network, guards } = simulation;
    const { name, process } = deps;

    const peer = (address: string): EntryNode | undefined =>
        deps.entries().find(entry => entry.name === address);

    function createPeerCall(): PeerCall {
        const exchange = process.connect(
            async (address: string, method: string, params: unknown): Promise<unknown> => {
                const ended = await network.exchange(
                    name,
                    address,
                    () => peer(address)!.receive(method, params),
                );
                if (ended.kind !== "answered") {
                    throw new ResultError(resultCodes.peerUnreachable, address);
                }
                return ended.answer;
            },
        );
        return async (address, method, params, timeoutMs) => {
            const done = new AbortController();
            const timeout = process.clock.sleep(timeoutMs, done.signal).then(() => {
                throw new ResultError(resultCodes.peerUnreachable, "timeout");
            });
            timeout.catch(() => undefined);
            try {
                return await Promise.race([exchange(address, method, params), timeout]);
            }
            finally {
                done.abort();
            }
        };
    }

    function createForwardPlain(): ForwardPlain {
        const forward: ForwardPlain = async (address, request, signal) => {
            try {
                const ended = await network.exchange(
                    name,
                    address,
                    () => peer(address)!.enter(entry => entry.call({ ...request, forwarded: true }, signal)),
                );
                if (ended.kind === "notSent") {
                    return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
                }
                return ended.kind === "answered"
                    ? { kind: "ran", answer: ended.answer }
                    : { kind: "unknown", code: resultCodes.connectionBroken };
            }
            catch (error) {
                const code = codeOf(error);
                return outcomeOfError(error) === "notRun"
                    ? { kind: "notRun", code, retryAfterMs: undefined }
                    : { kind: "unknown", code };
            }
        };
        return process.connect(forward);
    }

    function connectSidecar(report: SamplerReport): SidecarPort {
        const node = deps.samplers().find(sampler => sampler.name === report.sampler)!;
        const link = createSidecarLink({ network, process, from: name, node, guards: guards.send });
        return createCheckedSidecar(simulation, name, link);
    }

    return { callPeer: createPeerCall(), forwardPlain: createForwardPlain(), connectSidecar };
}
