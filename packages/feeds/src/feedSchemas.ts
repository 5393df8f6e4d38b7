import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { z } from "zod";

const version = z.number().int().nonnegative().transform(value => value as ObjectVersion);
const object = z.object({ key: z.string(), version, value: z.unknown() });
/** JSON has no `undefined`, so the value of a removed object is missing. */
const change = z.object({ key: z.string(), version, value: z.unknown().optional() })
    .transform(({ key, version, value }) => ({ key, version, value }));

const sinceOutageMs = z.number().nonnegative().optional();

const ageMs = z.number().nonnegative();

const breakReport = z.object({
    content: z.string().transform(value => value as ContentDigest),
    breaks: z.array(z.object({ sampler: z.string().transform(value => value as IncarnationId), ageMs })),
    completedAgeMs: ageMs.optional(),
});

const breakExchange = z.object({ from: z.string(), digest: z.string(), reports: z.array(breakReport) });

/** Wire schemas of `FeedQuery` and `FeedAnswer`. */
export const feedSchemas = {
    query: z.object({
        prefix: z.string(),
        since: version.optional(),
        avoided: z.array(z.string()).optional(),
        waitMs: z.number().nonnegative(),
    }),
    answer: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("listed"), objects: z.array(object), revision: version, sinceOutageMs }),
        z.object({ kind: z.literal("changed"), changes: z.array(change), revision: version, sinceOutageMs }),
        z.object({ kind: z.literal("elsewhere"), runner: z.string() }),
        z.object({ kind: z.literal("unsure"), sinceOutageMs }),
    ]),
    /** Sent along with a query or an answer by a process that knows of breaks; not sent by earlier versions. */
    contents: z.object({ contents: breakExchange.optional() }),
};
