/** Prefix of headers that are internal to the system and never forwarded between callers and backend servers. */
export const internalHeaderPrefix = "x-auburnarch-";
