import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TeamManifest } from "@auburnarch/types/TeamManifest";
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * The team that a bearer token proves; throws `unauthenticated` for none or an unknown one. Digests are compared
 * in constant time and all of them each time, so that the answer's time tells nothing of how near a guess was.
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
