import type { Clock } from "@auburnarch/types/Clock";
import type { EngineLoad } from "@auburnarch/types/EngineLoad";

type Load = Omit<EngineLoad, "ageMs">;

interface LaggingLoad {
    record(load: Load): void;
    read(): EngineLoad;
}

/** Records loads and reports the one of `lagMs` ago; older records are dropped. */
export function createLaggingLoad(clock: Clock, lagMs: number): LaggingLoad {
    let past: { atMs: number; load: Load; }[] = [
        { atMs: Number.NEGATIVE_INFINITY, load: { running: 0, waiting: 0, cachedTokens: 0 } },
    ];

    function dropOutdated(): void {
        const limitMs = clock.monotonicMs() - lagMs;
        const visible = past.findLastIndex(entry => entry.atMs <= limitMs);
        past = past.slice(Math.max(0, visible));
    }

    return {
        record: load => {
            dropOutdated();
            past.push({ atMs: clock.monotonicMs(), load });
        },
        read: () => {
            dropOutdated();
            return { ...past[0]!.load, ageMs: lagMs };
        },
    };
}
