import type { Random } from "@auburnarch/types/Random";
import type { EntryNode } from "./EntryNode.js";

/** Part of the calls that the platform's balancer sends to an entry that does not answer. */
const unavailablePickRatio = 0.1;

/** The entry that the platform's balancer sends a call to: mostly one that answers. */
export function pickEntry(entries: readonly EntryNode[], random: Random): EntryNode {
    const answering = entries.filter(entry => entry.running()?.process.isPaused() === false);
    const pool = answering.length === 0 || random.nextUnit() < unavailablePickRatio ? entries : answering;
    return pool[random.nextInt(pool.length)]!;
}
