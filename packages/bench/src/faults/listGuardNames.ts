import { defaultFaultGuards } from "./defaultFaultGuards.js";

/** Names of all guards, as `part.guard`. */
export function listGuardNames(): string[] {
    return Object.entries(defaultFaultGuards).flatMap(([part, guards]) =>
        Object.keys(guards).map(guard => `${part}.${guard}`)
    );
}
