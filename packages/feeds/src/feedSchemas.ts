import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { z } from "zod";

const version = z.number().int().nonnegative().transform(value => value as ObjectVersion);
const object = z.object({ key: z.string(), version, value: z.unknown() });
/** JSON has no `undefined`, so the value of a removed object is missing. */
const change = z.object({ key: z.string(), version, value: z.unknown().optional() })
    .transform(({ key, version, value }) => ({ key, version, value }));

const sinceOutageMs = z.number().nonnegative().optional();

const breakReport = z.object({
    content: z.string().transform(value => value as ContentDigest),
    breaks: z.number().int().nonnegative(),
    ageMs: z.number().nonnegative(),
});

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
    /** Sent along with a query or an answer; a process of an earlier version sends none. */
    breaks: z.object({ breaks: z.array(breakReport).default([]) }),
};
