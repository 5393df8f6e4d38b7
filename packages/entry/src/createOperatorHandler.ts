import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { OperatorApplied } from "@auburnarch/types/OperatorApplied";
import type { OperatorJob } from "@auburnarch/types/OperatorJob";
import type { OperatorMember } from "@auburnarch/types/OperatorMember";
import type { OperatorStatus } from "@auburnarch/types/OperatorStatus";
import type { OperatorTeamUsage } from "@auburnarch/types/OperatorTeamUsage";
import type { OperatorUsage } from "@auburnarch/types/OperatorUsage";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { summarizeUsage } from "@auburnarch/usage/summarizeUsage";
import { z } from "zod";
import type { DecisionStore } from "./DecisionStore.js";
import type { JobReport } from "./JobReport.js";
import type { SamplerViews } from "./SamplerViews.js";
import type { UsageCollector } from "./UsageCollector.js";

const applyBody = z.strictObject({ manifest: z.unknown(), expectedVersion: z.number().int().nonnegative() });
const drainBody = z.strictObject({ sampler: z.string().min(1) });
const liftBody = z.strictObject({ digest: z.string().min(1) });

interface OperatorHandlerDeps {
    self: EntryRecord;
    clock: Clock;
    manifest: () => VersionedManifest | undefined;
    isReady: () => boolean;
    isStoreReachable: () => boolean;
    readMembers: () => Promise<OperatorMember[]>;
    views: SamplerViews;
    drain: (sampler: SamplerId) => Promise<number>;
    publish: (manifest: unknown, expectedVersion: number) => Promise<OperatorApplied>;
    /** Reads the reports of all jobs, from this entry and from owners at other entries. */
    readJobs: () => Promise<JobReport[]>;
    usage: UsageCollector;
    listQuarantine: () => QuarantineRecord[];
    liftQuarantine: (digest: ContentDigest) => Promise<void>;
    explain: DecisionStore["explain"];
}

const emptyUsage = (team: TeamId): OperatorTeamUsage => ({
    team,
    samples: 0,
    deliveredEngineMs: 0,
    deliveredTokens: 0,
    discardedEngineMs: 0,
    overheadEngineMs: 0,
    interactiveEngineMs: 0,
    interactiveRequests: 0,
});

function parse<T>(schema: z.ZodType<T>, body: unknown): T {
    const parsed = schema.safeParse(body);
    if (!parsed.success) {
        const faults = parsed.error.issues.map(issue =>
            `${issue.path.join(".") || "body"}: ${issue.message}`
        );
        throw new ResultError(resultCodes.badRequest, faults.join("; "));
    }
    return parsed.data;
}

interface OperatorHandler {
    /** `action` is the HTTP method and the path below `/operator/`; rejects with `notFound` if it is unknown. */
    run(action: string, query: URLSearchParams, body: unknown): Promise<unknown>;
    readTeamUsage(team: TeamId): Promise<OperatorTeamUsage>;
}

/** Creates the handler of the operator interface. */
export function createOperatorHandler(deps: OperatorHandlerDeps): OperatorHandler {
    const noVersion = 0 as ConfigVersion;

    async function status(): Promise<OperatorStatus> {
        return {
            entry: deps.self.entry,
            configVersion: deps.manifest()?.version ?? noVersion,
            manifestName: deps.manifest()?.manifest.name,
            ready: deps.isReady(),
            storeReachable: deps.isStoreReachable(),
            members: await deps.readMembers(),
        };
    }

    function describeJob({ job, owner, status: found }: JobReport): OperatorJob {
        const open = found?.steps.find(each => each.delivered < each.groups);
        return {
            job: job.job,
            team: job.team,
            policy: job.policy,
            owner,
            fencing: found?.fencing,
            step: open?.step,
            groupsDelivered: open?.delivered ?? 0,
            groups: open?.groups ?? 0,
            publishedVersion: found?.publishedVersion,
            needInMs: open === undefined ? undefined : open.needAtMs - deps.clock.wallMs(),
        };
    }

    async function usage(): Promise<OperatorUsage> {
        const unreadSamplers = await deps.usage.collect();
        const counters = await deps.usage.readAll().catch(() => deps.usage.listCollected());
        const jobs = await deps.readJobs();
        const rows = summarizeUsage(
            counters,
            jobs.flatMap(({ job, status: found }) =>
                found === undefined ? [] : [{ ...found, job: job.job, team: job.team }]
            ),
        );
        const interactive = counters.filter(each => each.job === undefined);
        const teams = rows.map(row => {
            const own = interactive.filter(each => each.team === row.team);
            const interactiveEngineMs = own.reduce((sum, each) => sum + each.engineMs, 0);
            return {
                team: row.team,
                samples: jobs.filter(each => each.job.team === row.team)
                    .reduce((sum, each) => sum + (each.status?.deliveredSamples ?? 0), 0),
                deliveredEngineMs: row.deliveredEngineMs - interactiveEngineMs,
                deliveredTokens: jobs.filter(each => each.job.team === row.team)
                    .reduce((sum, each) => sum + (each.status?.deliveredTokens ?? 0), 0),
                discardedEngineMs: row.discardedEngineMs,
                overheadEngineMs: row.overheadEngineMs,
                interactiveEngineMs,
                interactiveRequests: own.reduce((sum, each) => sum + each.requests, 0),
            };
        });
        return { teams, unreadSamplers };
    }

    async function drain(body: unknown): Promise<unknown> {
        const sampler = parse(drainBody, body).sampler as SamplerId;
        if (!deps.views.listAll().some(each => each.report.sampler === sampler)) {
            throw new ResultError(resultCodes.notFound, `sampler ${sampler}`);
        }
        return { sampler, running: await deps.drain(sampler) };
    }

    async function lift(body: unknown): Promise<unknown> {
        await deps.liftQuarantine(parse(liftBody, body).digest as ContentDigest);
        return { records: deps.listQuarantine() };
    }

    function apply(body: unknown): Promise<OperatorApplied> {
        const { manifest, expectedVersion } = parse(applyBody, body);
        return deps.publish(manifest, expectedVersion);
    }

    const actions: Record<string, (query: URLSearchParams, body: unknown) => unknown> = {
        "GET status": status,
        "GET manifest": () => deps.manifest() ?? { version: noVersion, manifest: undefined },
        "GET jobs": async () => ({ jobs: (await deps.readJobs()).map(describeJob) }),
        "GET samplers": () => ({ samplers: deps.views.listAll() }),
        "GET usage": usage,
        "GET quarantine": () => ({ records: deps.listQuarantine() }),
        "GET explain": query => deps.explain(query.get("id") ?? ""),
        "POST manifest": (_query, body) => apply(body),
        "POST drain": (_query, body) => drain(body),
        "POST quarantine/lift": (_query, body) => lift(body),
    };

    return {
        run: async (action, query, body) => {
            const run = actions[action];
            if (run === undefined) {
                throw new ResultError(resultCodes.notFound, action);
            }
            return run(query, body);
        },
        readTeamUsage: async team => {
            const { teams } = await usage();
            return teams.find(each => each.team === team) ?? emptyUsage(team);
        },
    };
}
