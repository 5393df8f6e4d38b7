import type { JobId } from "@auburnarch/types/JobId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { EntryRoute } from "./EntryRoute.js";

const maxWaitMs = 30_000;
const servicePattern = /^\/v1\/services\/([^/?]+)([/?][^]*)?$/;
const jobPattern = /^\/v1\/jobs\/([^/]+)(?:\/(steps|weights)(?:\/(\d{1,15})\/groups)?)?$/;
const operatorPattern = /^\/operator\/([a-z]+(?:\/[a-z]+)?)$/;

function matchJob(method: string, url: URL): EntryRoute {
    const matched = jobPattern.exec(url.pathname) ?? undefined;
    if (matched === undefined) {
        return { kind: "none" };
    }
    const job = decodeURIComponent(matched[1]!) as JobId;
    const [, , collection, step] = matched;
    if (method === "GET" && step !== undefined && collection === "steps") {
        const cursor = url.searchParams.get("cursor") ?? undefined;
        const requestedMs = Number(url.searchParams.get("waitMs") ?? 0);
        const waitMs = Number.isFinite(requestedMs) ? Math.min(Math.max(requestedMs, 0), maxWaitMs) : 0;
        return { kind: "readGroups", job, step: Number(step) as StepNumber, cursor, waitMs };
    }
    if (method === "POST" && step === undefined && collection !== undefined) {
        return collection === "steps" ? { kind: "openStep", job } : { kind: "publishWeights", job };
    }
    return method === "GET" && collection === undefined ? { kind: "jobStatus", job } : { kind: "none" };
}

const fixedRoutes: Record<string, EntryRoute> = {
    "GET /healthz": { kind: "health" },
    "GET /readyz": { kind: "ready" },
    "GET /metrics": { kind: "metrics" },
    "GET /v1/usage": { kind: "teamUsage" },
    "POST /rpc": { kind: "rpc" },
};

/** Returns the route of a request; `none` if there is no such route or the target is not a valid path. */
export function matchRoute(method: string, target: string): EntryRoute {
    const service = servicePattern.exec(target) ?? undefined;
    if (service !== undefined) {
        const path = service[2] ?? "/";
        return {
            kind: "service",
            service: service[1]! as ServiceId,
            path: path.startsWith("?") ? `/${path}` : path,
        };
    }
    try {
        const url = new URL(target, "http://entry");
        const operator = operatorPattern.exec(url.pathname) ?? undefined;
        if (operator !== undefined) {
            return { kind: "operator", action: `${method} ${operator[1]!}`, query: url.searchParams };
        }
        return fixedRoutes[`${method} ${url.pathname}`] ?? matchJob(method, url);
    }
    catch {
        return { kind: "none" };
    }
}
