import type { RunParts } from "./RunParts.js";

/** Faults that affect the whole object API. */
type StoreFault = "storeOutage" | "storeSlow" | "storeAnswerLost" | "storeStaleRead";

/** Draws a duration between two bounds. */
function drawMs(parts: RunParts, minMs: number, maxMs: number): number {
    return minMs + parts.simulation.random.nextUnit() * (maxMs - minMs);
}

function failStore(parts: RunParts): void {
    const { storeFaults, clock } = parts.simulation;
    parts.countFault("storeOutage");
    storeFaults.setOutage(true);
    clock.startTimer(drawMs(parts, 500, 6_000), () => storeFaults.setOutage(false));
}

function slowStore(parts: RunParts): void {
    const { storeFaults, clock } = parts.simulation;
    parts.countFault("storeSlow");
    storeFaults.setSlow(drawMs(parts, 200, 2_500));
    clock.startTimer(drawMs(parts, 500, 5_000), () => storeFaults.setSlow(0));
}

function loseStoreAnswers(parts: RunParts): void {
    parts.countFault("storeAnswerLost");
    parts.simulation.storeControl.loseAnswers(1 + parts.simulation.random.nextInt(3));
}

function serveStaleReads(parts: RunParts): void {
    const { storeControl, clock, random } = parts.simulation;
    parts.countFault("storeStaleRead");
    storeControl.setStaleReads(1 + random.nextInt(12));
    clock.startTimer(drawMs(parts, 500, 4_000), () => storeControl.setStaleReads(0));
}

/** Injects a fault into the object API. */
export function injectStoreFault(parts: RunParts, fault: StoreFault): void {
    const injectors: Record<StoreFault, (parts: RunParts) => void> = {
        storeOutage: failStore,
        storeSlow: slowStore,
        storeAnswerLost: loseStoreAnswers,
        storeStaleRead: serveStaleReads,
    };
    injectors[fault](parts);
}
