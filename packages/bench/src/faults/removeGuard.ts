import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultGuards } from "./FaultGuards.js";
import { removedMechanisms } from "./removedMechanisms.js";

type AnyGuards = Record<string, (...args: never[]) => unknown>;

/** Results of disabled guards that do not return a boolean, or for which `true` is the restrictive result. */
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
 * Returns the guards with those in the comma-separated list `names` disabled: a guard `part.guard` accepts everything,
 * a mechanism is replaced by a simpler one. Undefined for an unknown name.
 */
export function removeGuard(names: string): FaultGuards | undefined {
    return names.split(",").reduce<FaultGuards | undefined>(
        (guards, name) => guards === undefined ? undefined : removeOne(guards, name),
        defaultFaultGuards,
    );
}
