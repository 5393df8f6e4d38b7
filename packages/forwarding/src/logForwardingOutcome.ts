import type { Logger } from "@auburnarch/types/Logger";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import type { RoutedRequest } from "./RoutedRequest.js";

/** What led to an outcome. */
interface ForwardingCourse {
    /** Samplers in the order in which their tries ended, each with how. */
    tries: string;
    underWay: number;
    mayHaveRun: boolean;
    tookMs: number;
    limitMs: number;
    /** Since the list of samplers was confirmed, as the request ends. */
    samplersAgeMs: number;
}

/** Writes the one line that tells of a plain request. */
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
