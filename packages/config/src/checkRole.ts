import type { ConfigFault } from "@auburnarch/types/ConfigFault";

type Needs = Record<string, string>;

const entryNeeds: Needs = {
    cursorKey: "An entry signs trainers' cursors.",
    scoringUrl: "An entry sends finished samples to be scored.",
};

const sidecarNeeds: Needs = {
    sampler: "A sidecar stands before one sampler.",
    service: "A sidecar's sampler belongs to a service.",
};

const entryOnly = ["manifestPath", "dataFolder", "operatorToken"];
const sidecarOnly = ["sampler", "service", "engineUrl", "backendUrl"];

function missing(given: Record<string, unknown>, needs: Needs): ConfigFault[] {
    return Object.entries(needs)
        .filter(([key]) => given[key] === undefined)
        .map(([key, reason]) => ({ path: key, message: `Missing. ${reason}` }));
}

function misplaced(given: Record<string, unknown>, keys: string[], role: string): ConfigFault[] {
    return keys
        .filter(key => given[key] !== undefined)
        .map(key => ({ path: key, message: `Only a process of role ${role} has this.` }));
}

function checkBackend(given: Record<string, unknown>): ConfigFault[] {
    const present = [given["engineUrl"], given["backendUrl"]].filter(url => url !== undefined).length;
    if (present !== 1) {
        return [{ path: "engineUrl", message: "A sidecar needs exactly one of engineUrl and backendUrl." }];
    }
    if (given["engineUrl"] !== undefined && given["weightStoreUrl"] === undefined) {
        return [{ path: "weightStoreUrl", message: "Missing. A sidecar of an engine loads weights." }];
    }
    return [];
}

/** Finds settings that the role requires but that are missing, and settings that only the other role has. */
export function checkRole(json: unknown): ConfigFault[] {
    const given = (json instanceof Object ? json : {}) as Record<string, unknown>;
    if (given["role"] === "entry") {
        return [...missing(given, entryNeeds), ...misplaced(given, sidecarOnly, "sidecar")];
    }
    if (given["role"] === "sidecar") {
        return [
            ...missing(given, sidecarNeeds),
            ...checkBackend(given),
            ...misplaced(given, entryOnly, "entry"),
        ];
    }
    return [];
}
