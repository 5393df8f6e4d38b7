/**
 * Outcome of an exchange for its sender. `notSent`: no connection was established. `broken`: the connection broke, and
 * the sender cannot tell whether the request was carried out.
 */
export type Exchange<T> = { kind: "answered"; answer: T; } | { kind: "notSent"; } | { kind: "broken"; };
