import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { Clock } from "@auburnarch/types/Clock";
import type { EngineFinish } from "@auburnarch/types/EngineFinish";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { RunObserver } from "./checks/RunObserver.js";
import type { SidecarProcess } from "./SidecarProcess.js";

interface ObservedEngineDeps {
    node: string;
    engine: EnginePort;
    control: FakeEngineControl;
    clock: Clock;
    observer: RunObserver;
    sidecar: () => SidecarProcess | undefined;
    /** Whether the sidecar receives the fingerprints; the observer always does. */
    statesFingerprint: boolean;
    /** Called when a generation starts; `countRunning` returns how many are running when it is called. */
    onStart: (request: EngineRequest, countRunning: () => number) => void;
}

/** A description takes time, during which the sidecar does not know the served version. */
const describeMs = 40;

const versionIn = (fingerprint: string | undefined): number => Number(fingerprint?.split("@")[1] ?? -1);

/** Creates an engine that reports all its effects to the observer. */
export function createObservedEngine(deps: ObservedEngineDeps): EnginePort {
    const { engine, control, clock, observer, node } = deps;
    let running = 0;
    const servedVersion = (): number => control.served()[0]?.version ?? -1;

    return {
        ...engine,
        generate: (request, onChunk, signal) => {
            if (control.isUp() && !signal.aborted && servedVersion() >= 0) {
                observer.recordEngineStart(node, request);
            }
            running++;
            deps.onStart(request, () => running);
            const finished = engine.generate(request, chunk => {
                observer.recordTokens(request.attempt, versionIn(chunk.fingerprint), chunk.tokens);
                onChunk(deps.statesFingerprint ? chunk : { ...chunk, fingerprint: undefined });
            }, signal);
            const end = (reason?: EngineFinish["reason"]): void => {
                running--;
                observer.recordEngineEnd(node, request.attempt, reason === "stop" || reason === "length");
            };
            finished.then(({ reason }) => end(reason), () => end());
            return finished;
        },
        order: order => {
            const sidecar = deps.sidecar();
            if (sidecar !== undefined && control.isUp()) {
                observer.recordEngineOrder(node, order, servedVersion(), sidecar);
                if (order.kind === "load" && !deps.statesFingerprint && running > 0) {
                    observer.recordMixedSwap(node, running);
                }
            }
            return engine.order(order);
        },
        describe: async () => {
            await clock.sleep(describeMs);
            return await engine.describe();
        },
    };
}
