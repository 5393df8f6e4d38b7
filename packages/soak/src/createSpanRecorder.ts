import type { Clock } from "@auburnarch/types/Clock";
import type { TimeSpan } from "./TimeSpan.js";

interface SpanRecorder {
    /** Begins a span unless one lasts. */
    open(): void;
    close(): void;
    spans(): TimeSpan[];
}

/** Records the spans of time in which something holds. */
export function createSpanRecorder(clock: Clock): SpanRecorder {
    const spans: TimeSpan[] = [];
    const isOpen = (): boolean => spans.at(-1)?.untilMs === Infinity;
    return {
        open: () => {
            if (!isOpen()) {
                spans.push({ fromMs: clock.monotonicMs(), untilMs: Infinity });
            }
        },
        close: () => {
            if (isOpen()) {
                spans.at(-1)!.untilMs = clock.monotonicMs();
            }
        },
        spans: () => spans,
    };
}
