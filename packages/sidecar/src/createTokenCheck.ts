import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Creates a constant-time check of a token against its SHA-256 digest in hex. A token that has passed is compared
 * directly from then on, which saves a hash for each request.
 */
export function createTokenCheck(digest: string): (token: string | string[] | undefined) => boolean {
    const expectedDigest = Buffer.from(digest, "hex");
    let lastValidToken: Buffer | undefined;

    const equal = (a: Buffer, b: Buffer): boolean => a.length === b.length && timingSafeEqual(a, b);

    return token => {
        if (typeof token !== "string" || token === "") {
            return false;
        }
        const presentedToken = Buffer.from(token);
        if (lastValidToken !== undefined && equal(presentedToken, lastValidToken)) {
            return true;
        }
        const passes = equal(createHash("sha256").update(presentedToken).digest(), expectedDigest);
        if (passes) {
            lastValidToken = presentedToken;
        }
        return passes;
    };
}
