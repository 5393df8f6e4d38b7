import type { Route } from "@auburnarch/routing/Route";

/** Used if the operator sets no target. */
const defaultTargetMs = 200;

/** Target for the time to the answer of a plain request. */
export const targetLatencyMsOf = ({ targetLatencyMs }: Route): number => targetLatencyMs ?? defaultTargetMs;
