import type { Random } from "@auburnarch/types/Random";
import type { EntryNode } from "./EntryNode.js";

/** Fraction of the calls that the platform's load balancer sends to any entry, available or not. */
const unavailablePickRatio = 0.1;

/** Picks the entry that the platform's load balancer sends a call to, in most cases an available one. */
export function pickEntry(entries: readonly EntryNode[], random: Random): EntryNode {
    const answering = entries.filter(entry => entry.running()?.process.isPaused() === false);
    const pool = answering.length === 0 || random.nextUnit() < unavailablePickRatio ? entries : answering;
    return pool[random.nextInt(pool.length)]!;
}
