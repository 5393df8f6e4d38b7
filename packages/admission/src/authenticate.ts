import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TeamManifest } from "@auburnarch/types/TeamManifest";
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns the team of a bearer token; throws `unauthenticated` without a token or for an unknown one. All digests are
 * compared, each in constant time, so that the response time reveals nothing about a guessed token.
 */
export function authenticate(token: string | undefined, teams: TeamManifest[]): TeamId {
    const offered = createHash("sha256").update(token ?? "").digest();
    let found: TeamId | undefined;
    for (const { team, tokenDigests } of teams) {
        for (const digest of tokenDigests) {
            const known = Buffer.from(digest, "hex");
            const matches = known.length === offered.length && timingSafeEqual(known, offered);
            found = matches ? team : found;
        }
    }
    if (token === undefined || token === "" || found === undefined) {
        throw new ResultError(resultCodes.unauthenticated);
    }
    return found;
}
