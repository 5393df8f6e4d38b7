import { defaultFaultGuards } from "./defaultFaultGuards.js";
import { removedMechanisms } from "./removedMechanisms.js";

/** Names of all guards, as `part.guard`, and of the mechanisms that can be disabled in the same way. */
export function listGuardNames(): string[] {
    const guards = Object.entries(defaultFaultGuards).flatMap(([part, ofPart]) =>
        Object.keys(ofPart).map(guard => `${part}.${guard}`)
    );
    return [...guards, ...Object.keys(removedMechanisms)];
}
