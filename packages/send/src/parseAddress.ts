import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/** Splits `http://ip:port`. Throws a `ResultError` of code `settingsInvalid` for anything else. */
export function parseAddress(address: string): { host: string; port: number; } {
    const url = URL.canParse(address) ? new URL(address) : undefined;
    if (url === undefined || url.protocol !== "http:") {
        throw new ResultError(resultCodes.settingsInvalid, `address ${address} is not http://ip:port`);
    }
    return { host: url.hostname.replace(/^\[|\]$/g, ""), port: Number(url.port || "80") };
}
