import type { Caller } from "./Caller.js";
import type { Credential } from "./Credential.js";
import type { RoutingTable } from "./RoutingTable.js";

/** The team that a credential belongs to; undefined if it is no key of a configured team. */
function findTeamCaller({ teams }: RoutingTable, credential: Credential): Caller | undefined {
    const team = credential.kind === "key" ? teams?.get(credential.digest) : undefined;
    return team === undefined ? undefined : { kind: "team", team };
}

/**
 * Identifies the caller; undefined if the call requires a key and has no valid one. No key is required if the
 * configuration has no teams.
 */
export function identifyCaller(
    table: RoutingTable,
    credential: Credential,
    mayBeAnonymous: boolean,
): Caller | undefined {
    const isKeyOptional = mayBeAnonymous || table.teams === undefined;
    return findTeamCaller(table, credential) ?? (isKeyOptional ? { kind: "anonymous" } : undefined);
}
