import { createDecisionSetup } from "./createDecisionSetup.js";
import type { DecideResult } from "./DecideResult.js";

const usPerMs = 1_000;
const warmUpRounds = 300;
const batches = 15;
const batchMs = 20;

function median(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[sorted.length >> 1] ?? 0;
}

/**
 * Measures time and allocated bytes per call as medians over batches; batches in which the heap shrank are left out of
 * the bytes.
 */
function measureCall(run: () => void): { us: number; bytes: number; } {
    for (let round = 0; round < warmUpRounds; round++) {
        run();
    }
    const times: number[] = [];
    const bytes: number[] = [];
    for (let batch = 0; batch < batches; batch++) {
        const heapBefore = process.memoryUsage().heapUsed;
        const startMs = performance.now();
        let calls = 0;
        while (performance.now() - startMs < batchMs) {
            run();
            calls++;
        }
        times.push((performance.now() - startMs) * usPerMs / calls);
        const grown = process.memoryUsage().heapUsed - heapBefore;
        if (grown > 0) {
            bytes.push(grown / calls);
        }
    }
    return { us: median(times), bytes: median(bytes) };
}

/** Measures the real decision code at one fleet size. */
export function measureDecision(candidates: number, inFlight: number): DecideResult {
    const { placement, nextWork } = createDecisionSetup(candidates, inFlight);
    const listed = placement.listCandidates(0);
    const works = Array.from({ length: 64 }, nextWork);
    let at = 0;
    const decision = measureCall(() => void placement.decide(works[at++ % works.length]!, listed, 0));
    const listing = measureCall(() => void placement.listCandidates(0));
    return {
        candidates,
        inFlight,
        decisionUs: decision.us,
        decisionBytes: decision.bytes,
        candidatesUs: listing.us,
        candidatesBytes: listing.bytes,
    };
}
