import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";

/**
 * Parses `http://ip:port`, or `https://…` where TLS is used. Throws a `ResultError` with code `settingsInvalid` for
 * anything else.
 */
export function parseAddress(address: string, secure = false): { host: string; port: number; } {
    const protocol = secure ? "https:" : "http:";
    const url = URL.canParse(address) ? new URL(address) : undefined;
    if (url === undefined || url.protocol !== protocol) {
        throw new ResultError(resultCodes.settingsInvalid, `address ${address} is not ${protocol}//ip:port`);
    }
    return { host: url.hostname.replace(/^\[|\]$/g, ""), port: Number(url.port || (secure ? "443" : "80")) };
}
