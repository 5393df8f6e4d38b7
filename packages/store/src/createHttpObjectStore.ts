import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import { z } from "zod";
import { createJsonClient } from "./createJsonClient.js";
import type { HttpClientOptions } from "./HttpClientOptions.js";
import { parseAnswer } from "./parseAnswer.js";

const version = z.number().int().nonnegative().transform(number => number as ObjectVersion);
const storedObject = z.object({ key: z.string(), version, value: z.unknown().optional() })
    .transform(object => object as StoredObject);
const storedChange = z.object({ key: z.string(), version, value: z.unknown().optional() })
    .transform(change => change as StoredChange);
const readAnswer = z.object({ object: storedObject.optional() });
const listAnswer = z.object({ objects: z.array(storedObject), revision: version });
const watchAnswer = z.object({
    changes: z.array(storedChange),
    revision: version,
    relisted: z.boolean().optional(),
});
const writeAnswer = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("written"), version }),
    z.object({ kind: z.literal("conflict"), current: storedObject.optional() }),
]);

/**
 * Creates a client of the object API over HTTP with JSON. Every transport fault rejects with `storeUnavailable`,
 * because the caller cannot know whether a write took effect.
 */
export function createHttpObjectStore(
    baseUrl: string,
    options: HttpClientOptions = {},
): ObjectStore & { close(): void; } {
    const faultCode = resultCodes.storeUnavailable;
    const client = createJsonClient(baseUrl, faultCode, options);
    const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`;
    const toOutcome = (value: unknown): WriteOutcome => {
        const outcome = parseAnswer(writeAnswer, value, faultCode);
        return outcome.kind === "written" ? outcome : { kind: "conflict", current: outcome.current };
    };

    return {
        read: async key => {
            const { value } = await client.call("GET", pathOf(key));
            return parseAnswer(readAnswer, value, faultCode).object;
        },
        list: async prefix => {
            const { value } = await client.call("GET", `/objects?prefix=${encodeURIComponent(prefix)}`);
            return parseAnswer(listAnswer, value, faultCode);
        },
        write: async (key, value, expectedVersion) => {
            const answer = await client.call("PUT", pathOf(key), { value, expectedVersion });
            return toOutcome(answer.value);
        },
        remove: async (key, expectedVersion) => {
            const answer = await client.call("DELETE", `${pathOf(key)}?expectedVersion=${expectedVersion}`);
            return toOutcome(answer.value);
        },
        watch: async (prefix, revision, waitMs) => {
            const query = new URLSearchParams({ prefix, revision: `${revision}`, waitMs: `${waitMs}` });
            const { value } = await client.call("GET", `/watch?${query.toString()}`, undefined, waitMs);
            return parseAnswer(watchAnswer, value, faultCode);
        },
        close: client.close,
    };
}
