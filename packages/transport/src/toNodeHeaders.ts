/** Converts forwarded headers (see `toForwardedHeaders`) to those that Node's `http` writes. */
export function toNodeHeaders(headers: Record<string, string>): Record<string, string | string[]> {
    const cookies = headers["set-cookie"];
    return cookies === undefined ? headers : { ...headers, "set-cookie": cookies.split("\n") };
}
