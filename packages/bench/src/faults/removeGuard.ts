import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultGuards } from "./FaultGuards.js";
import { removedMechanisms } from "./removedMechanisms.js";

type AnyGuards = Record<string, (...args: never[]) => unknown>;

/** What the guards answer that do not say yes or no, or whose yes is the careful side. */
const permissive: Record<string, () => unknown> = {
    "owner.findSampleProblem": () => undefined,
    "owner.repeatsPage": () => false,
    "lease.takeOverAfterMs": () => 0,
    "keyRange.isSeen": () => false,
    "quarantine.isConvicted": () => false,
};

function removeOne(guards: FaultGuards, name: string): FaultGuards | undefined {
    const removed = removedMechanisms[name];
    if (removed !== undefined) {
        return { ...guards, quarantine: { ...guards.quarantine, ...removed } };
    }
    const [part = "", guard = ""] = name.split(".");
    const ofPart = (guards as unknown as Record<string, AnyGuards>)[part];
    if (ofPart?.[guard] === undefined) {
        return undefined;
    }
    const without = { ...ofPart, [guard]: permissive[name] ?? (() => true) };
    return { ...guards, [part]: without };
}

/**
 * All guards but those named, separated by commas: a guard `part.guard` lets everything through, a mechanism is taken
 * away. Undefined for an unknown name.
 */
export function removeGuard(names: string): FaultGuards | undefined {
    return names.split(",").reduce<FaultGuards | undefined>(
        (guards, name) => guards === undefined ? undefined : removeOne(guards, name),
        defaultFaultGuards,
    );
}
