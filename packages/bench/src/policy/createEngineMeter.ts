import type { Clock } from "@auburnarch/types/Clock";
import type { EnginePort } from "@auburnarch/types/EnginePort";
import type { EngineMeter } from "./EngineMeter.js";

const interactivePriority = 100;

/** Creates a meter for the engines of one run; interactive requests are counted under `interactive`. */
export function createEngineMeter(clock: Clock): EngineMeter {
    const engineMsOf = new Map<string, number>();
    const settlers: (() => void)[] = [];
    let sampleTokens = 0;
    let replayedTokens = 0;

    function wrap(engine: EnginePort): EnginePort {
        const running = new Map<string, number>();
        let total = 0;
        let settledAtMs = 0;
        const settle = (): void => {
            const elapsedMs = clock.monotonicMs() - settledAtMs;
            settledAtMs = clock.monotonicMs();
            for (const [owner, count] of running) {
                if (count > 0) {
                    engineMsOf.set(owner, (engineMsOf.get(owner) ?? 0) + elapsedMs * count / total);
                }
            }
        };
        const change = (owner: string, by: number): void => {
            settle();
            running.set(owner, (running.get(owner) ?? 0) + by);
            total += by;
        };
        settlers.push(settle);
        return {
            ...engine,
            generate: async (request, onChunk, signal) => {
                const isSample = request.priority < interactivePriority;
                const owner = isSample ? request.policy : "interactive";
                replayedTokens += request.resumeTokens;
                change(owner, 1);
                try {
                    return await engine.generate(request, chunk => {
                        sampleTokens += isSample ? chunk.tokens : 0;
                        onChunk(chunk);
                    }, signal);
                }
                finally {
                    change(owner, -1);
                }
            },
        };
    }

    return {
        wrap,
        read: () => {
            settlers.forEach(settle => settle());
            return { engineMsOf, sampleTokens, replayedTokens };
        },
    };
}
