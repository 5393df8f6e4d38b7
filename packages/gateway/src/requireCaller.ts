import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Credential } from "@auburnarch/routing/Credential";
import { identifyCaller } from "@auburnarch/routing/identifyCaller";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Team } from "@auburnarch/routing/Team";
import { match } from "ts-pattern";

/**
 * Returns the caller's team, or undefined if no key is required; throws `unknownKey` if a key is required and no valid
 * one was sent. The error text never contains the credential.
 */
export function requireCaller(
    table: RoutingTable,
    credential: Credential,
    mayBeAnonymous: boolean,
): Team | undefined {
    const caller = identifyCaller(table, credential, mayBeAnonymous);
    if (caller === undefined) {
        const fault = match(credential)
            .with({ kind: "none" }, () => "no key was sent")
            .with({ kind: "unusable" }, unusable => unusable.fault)
            .with({ kind: "key" }, () => "no team holds this key")
            .exhaustive();
        throw new ResultError(resultCodes.unknownKey, `${fault}; configuration version ${table.version}`);
    }
    return caller.kind === "team" ? caller.team : undefined;
}
