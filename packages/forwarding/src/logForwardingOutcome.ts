import type { Logger } from "@auburnarch/types/Logger";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** How a request reached its outcome. */
interface ForwardingCourse {
    /** Samplers in the order in which their attempts ended, each with the result. */
    tries: string;
    /** Number of attempts that have not ended, and their samplers if there are any. */
    underWay: number;
    underWayAt: string | undefined;
    mayHaveRun: boolean;
    tookMs: number;
    limitMs: number;
    /** Time since the list of samplers was confirmed, at the end of the request. */
    samplersAgeMs: number;
}

/** Logs the single line for a plain request. */
export function logForwardingOutcome(
    logger: Logger,
    { requestId, route }: RoutedRequest,
    outcome: ForwardingOutcome,
    course: ForwardingCourse,
): void {
    const failed = outcome.kind === "failed" ? outcome : undefined;
    logger.info("requestRelayed", {
        request: requestId,
        route: route.name,
        kind: route.kind,
        ...course,
        status: outcome.kind === "answered" ? outcome.status : undefined,
        code: failed?.code.number,
        name: failed?.code.name,
        detail: failed?.detail,
    });
}
