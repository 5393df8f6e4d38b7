import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { Random } from "@auburnarch/types/Random";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import { createTokenBucket } from "./createTokenBucket.js";
import { createVersionHistory } from "./createVersionHistory.js";
import type { FakeStoreControl } from "./FakeStoreControl.js";
import type { StoreCallCounts } from "./StoreCallCounts.js";

interface FakeObjectStoreOptions {
    clock: Clock;
    random: Random;
    /** Mean latency of a call; each call draws a value between 0.5 and 1.5 times the mean. */
    latencyMs?: number;
    writesPerSecond?: number;
    readsPerSecond?: number;
    /** Number of changes that a watcher may be behind before it gets a full list instead. */
    historyChanges?: number;
}

interface Waiter {
    prefix: string;
    wake: () => void;
}

const maxValueBytes = 1_000_000;
const unavailable = (): ResultError => new ResultError(resultCodes.storeUnavailable);

function encode(value: unknown): string {
    const json = JSON.stringify(value);
    if (json === undefined || Buffer.byteLength(json) > maxValueBytes) {
        throw new ResultError(resultCodes.badRequest, "value: must be JSON of at most one megabyte");
    }
    return json;
}

/**
 * Creates an in-memory object store. Values are stored as JSON, so that callers share no references with it. A write
 * takes effect half way through its latency: an outage that begins after that loses only the answer.
 */
export function createFakeObjectStore(
    options: FakeObjectStoreOptions,
): { store: ObjectStore; control: FakeStoreControl; } {
    const { clock, random, latencyMs = 0 } = options;
    const history = createVersionHistory(options.historyChanges ?? 2_000);
    const waiters = new Set<Waiter>();
    const counts: StoreCallCounts = { read: 0, list: 0, write: 0, remove: 0, watch: 0, throttled: 0 };
    const takeReadToken = createTokenBucket(clock, options.readsPerSecond);
    const takeWriteToken = createTokenBucket(clock, options.writesPerSecond);
    let down = false;
    let slowMs = 0;
    let answersToLose = 0;
    let staleReadLag = 0;

    async function halfLatency(): Promise<void> {
        const drawnMs = latencyMs * (0.5 + random.nextUnit()) + slowMs;
        if (drawnMs > 0) {
            await clock.sleep(drawnMs / 2);
        }
        if (down) {
            throw unavailable();
        }
    }

    async function call<T>(kind: keyof StoreCallCounts, effect: () => T): Promise<T> {
        counts[kind]++;
        const takeToken = kind === "write" || kind === "remove" ? takeWriteToken : takeReadToken;
        if (!down && !takeToken()) {
            counts.throttled++;
            throw new ResultError(resultCodes.storeThrottled);
        }
        await halfLatency();
        const result = effect();
        await halfLatency();
        return result;
    }

    function change(key: string, json: string | undefined, expected: ObjectVersion): WriteOutcome {
        const outcome = history.commitIf(key, json, expected);
        if (outcome.kind === "written") {
            [...waiters].filter(waiter => key.startsWith(waiter.prefix)).forEach(waiter => waiter.wake());
        }
        return outcome;
    }

    async function answerWrite(effect: Promise<WriteOutcome>): Promise<WriteOutcome> {
        const outcome = await effect;
        if (outcome.kind === "written" && answersToLose > 0) {
            answersToLose--;
            throw unavailable();
        }
        return outcome;
    }

    async function waitForChange(prefix: string, since: ObjectVersion, waitMs: number): Promise<void> {
        const abort = new AbortController();
        const waiter: Waiter = { prefix, wake: () => abort.abort() };
        waiters.add(waiter);
        const hasMissedChange = history.changesSince(prefix, since).changes.length > 0;
        await clock.sleep(hasMissedChange ? 0 : waitMs, abort.signal);
        waiters.delete(waiter);
        if (down) {
            throw unavailable();
        }
    }

    async function watch(
        prefix: string,
        since: ObjectVersion,
        waitMs: number,
    ): ReturnType<ObjectStore["watch"]> {
        const found = await call("watch", () => history.changesSince(prefix, since));
        if (found.changes.length > 0 || found.relisted === true || waitMs <= 0) {
            return found;
        }
        await waitForChange(prefix, since, waitMs);
        return history.changesSince(prefix, since);
    }

    const visibleRevision = (): ObjectVersion =>
        Math.max(0, history.revision() - staleReadLag) as ObjectVersion;
    const store: ObjectStore = {
        read: key => call("read", () => history.readAt(key, visibleRevision())),
        list: prefix =>
            call("list", () => ({
                objects: history.listAt(prefix, visibleRevision()),
                revision: visibleRevision(),
            })),
        write: async (key, value, expected) => {
            const json = encode(value);
            return answerWrite(call("write", () => change(key, json, expected)));
        },
        remove: (key, expected) => answerWrite(call("remove", () => change(key, undefined, expected))),
        watch,
    };

    const control: FakeStoreControl = {
        setOutage: isDown => {
            down = isDown;
            [...waiters].filter(() => isDown).forEach(waiter => waiter.wake());
        },
        setSlow: ms => {
            slowMs = ms;
        },
        loseAnswers: count => {
            answersToLose = count;
        },
        setStaleReads: lag => {
            staleReadLag = lag;
        },
        calls: () => ({ ...counts }),
        revision: () => history.revision(),
        peek: key => history.readAt(key, history.revision())?.value,
        keys: () => history.listAt("", history.revision()).map(object => object.key),
    };
    return { store, control };
}
