import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Makes a check of a token against its SHA-256 digest in hex, in constant time. A token that has passed is compared
 * directly from then on, which saves a hash for each request.
 */
export function createTokenCheck(digest: string): (token: string | string[] | undefined) => boolean {
    const wanted = Buffer.from(digest, "hex");
    let passed: Buffer | undefined;

    const equal = (a: Buffer, b: Buffer): boolean => a.length === b.length && timingSafeEqual(a, b);

    return token => {
        if (typeof token !== "string" || token === "") {
            return false;
        }
        const given = Buffer.from(token);
        if (passed !== undefined && equal(given, passed)) {
            return true;
        }
        const passes = equal(createHash("sha256").update(given).digest(), wanted);
        if (passes) {
            passed = given;
        }
        return passes;
    };
}
