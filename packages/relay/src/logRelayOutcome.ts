import type { Logger } from "@auburnarch/types/Logger";
import type { RelayOutcome } from "./RelayOutcome.js";
import type { RelayRequest } from "./RelayRequest.js";

/** What led to an outcome. */
interface RelayCourse {
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
export function logRelayOutcome(
    logger: Logger,
    { requestId, route }: RelayRequest,
    outcome: RelayOutcome,
    course: RelayCourse,
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
