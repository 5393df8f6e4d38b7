/** How an exchange ended for its sender. `notSent`: no connection came about. `broken`: it broke, who knows when. */
export type Exchange<T> = { kind: "answered"; answer: T; } | { kind: "notSent"; } | { kind: "broken"; };
