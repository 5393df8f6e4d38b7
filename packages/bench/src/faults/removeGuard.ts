import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultGuards } from "./FaultGuards.js";

type AnyGuards = Record<string, (...args: never[]) => unknown>;

/** What the guards answer that do not say yes or no, or whose yes is the careful side. */
const permissive: Record<string, () => unknown> = {
    "owner.findSampleProblem": () => undefined,
    "owner.repeatsPage": () => false,
    "lease.takeOverAfterMs": () => 0,
    "keyRange.isSeen": () => false,
    "quarantine.isConvicted": () => false,
};

/** All guards but the one named `part.guard`, which lets everything through. Undefined for an unknown name. */
export function removeGuard(name: string): FaultGuards | undefined {
    const [part = "", guard = ""] = name.split(".");
    const guards = (defaultFaultGuards as unknown as Record<string, AnyGuards>)[part];
    if (guards?.[guard] === undefined) {
        return undefined;
    }
    const without = { ...guards, [guard]: permissive[name] ?? (() => true) };
    return { ...defaultFaultGuards, [part]: without };
}
