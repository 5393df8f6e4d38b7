import type { Caller } from "./Caller.js";
import type { Credential } from "./Credential.js";
import type { RoutingTable } from "./RoutingTable.js";

/** Whom a credential names: undefined if the configuration has teams and it is no key of theirs. */
function findTeamCaller({ teams }: RoutingTable, credential: Credential): Caller | undefined {
    const team = credential.kind === "key" ? teams?.get(credential.digest) : undefined;
    return team === undefined ? undefined : { kind: "team", team };
}

/**
 * Tells who calls; undefined if the call needs a key and brings none that counts. Without teams in the configuration
 * nobody needs one.
 */
export function identifyCaller(
    table: RoutingTable,
    credential: Credential,
    mayBeAnonymous: boolean,
): Caller | undefined {
    const isKeyOptional = mayBeAnonymous || table.teams === undefined;
    return findTeamCaller(table, credential) ?? (isKeyOptional ? { kind: "anonymous" } : undefined);
}
