import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { bufferAnswer } from "./bufferAnswer.js";
import type { CachedAnswer } from "./CachedAnswer.js";
import { defaultKeyRangeGuards } from "./defaultKeyRangeGuards.js";
import { keyCreatedAtMs } from "./keyCreatedAtMs.js";
import type { KeyedRequest } from "./KeyedRequest.js";
import type { KeyRange } from "./KeyRange.js";
import type { KeyRangeDeps } from "./KeyRangeDeps.js";
import { replayAnswer } from "./replayAnswer.js";

type Outcome = AttemptOutcome<PlainAnswer>;
type Execute = () => Promise<Outcome>;

/** Outcome of a key, which determines the answer to a repeat. `lost`: it ran, and its answer is not cached. */
type KeyState =
    | { kind: "running"; ended: Promise<Outcome>; }
    | { kind: "answered"; answer: CachedAnswer; release: () => void; }
    | { kind: "unknown"; code: ResultCode; }
    | { kind: "lost"; };

interface KeyEntry {
    digest: ContentDigest;
    acceptedAtMs: number;
    state: KeyState;
}

const defaultWindowMs = 600_000;
const defaultSkewMs = 2_000;
const defaultMaxKeys = 20_000;
const defaultMaxAnswerBytes = 4_000_000;
const overloadedRetryAfterMs = 1_000;

const notRun = (code: ResultCode, retryAfterMs?: number): Outcome => ({ kind: "notRun", code, retryAfterMs });
const unknown = (code: ResultCode): Outcome => ({ kind: "unknown", code });

/** Creates the owner's record of a key range; see `docs/design/04-at-most-once.md`. */
export function createKeyRange(deps: KeyRangeDeps): KeyRange {
    const { clock, lease, logger, invariants, answerBudget, range, takenOverAtMs } = deps;
    const { windowMs = defaultWindowMs, skewMs = defaultSkewMs, maxKeys = defaultMaxKeys } = deps;
    const { maxAnswerBytes = defaultMaxAnswerBytes, guards = defaultKeyRangeGuards } = deps;
    /** In order of acceptance. */
    const entries = new Map<string, KeyEntry>();
    let latestWallMs = clock.wallMs();

    /** Wall time that never decreases: a clock set back must not make keys acceptable whose records were evicted. */
    function nonDecreasingWallMs(): number {
        latestWallMs = Math.max(latestWallMs, clock.wallMs());
        return latestWallMs;
    }

    /** Evicts keys that would now be refused for their age anyway. */
    function evictExpired(): void {
        const limitMs = nonDecreasingWallMs() - windowMs - skewMs;
        for (const [id, entry] of entries) {
            if (entry.acceptedAtMs >= limitMs) {
                return;
            }
            entries.delete(id);
            if (entry.state.kind === "running") {
                // Still running after the whole window; it continues, and its record is kept.
                entry.acceptedAtMs = nonDecreasingWallMs();
                entries.set(id, entry);
            }
            else if (entry.state.kind === "answered") {
                entry.state.release();
            }
        }
    }

    /** Why a key without a record may not run; undefined if it may. */
    function findRefusal(key: string): Outcome | undefined {
        const createdAtMs = keyCreatedAtMs(key);
        if (createdAtMs === undefined) {
            return notRun(resultCodes.keyNotUuidV7);
        }
        if (!guards.mayAccept(lease.isHeld())) {
            return notRun(resultCodes.notOwner);
        }
        if (createdAtMs > nonDecreasingWallMs() + skewMs) {
            return notRun(resultCodes.keyTooOld);
        }
        if (!guards.isRemembered(createdAtMs, nonDecreasingWallMs(), windowMs)) {
            return unknown(resultCodes.keyTooOld);
        }
        if (takenOverAtMs !== undefined && !guards.isAfterTakeover(createdAtMs, takenOverAtMs, skewMs)) {
            return unknown(resultCodes.keyTakenOver);
        }
        return entries.size >= maxKeys ? notRun(resultCodes.overloaded, overloadedRetryAfterMs) : undefined;
    }

    function recordAnswer(entry: KeyEntry, cached: CachedAnswer | undefined): void {
        if (cached === undefined) {
            entry.state = { kind: "lost" };
            return;
        }
        const evict = (): void => {
            entry.state = { kind: "lost" };
        };
        const state: KeyState = { kind: "answered", answer: cached, release: () => {} };
        entry.state = state;
        state.release = answerBudget.add(cached.body.length, evict);
    }

    async function executeAndRecord(id: string, entry: KeyEntry, execute: Execute): Promise<Outcome> {
        const outcome = await execute();
        if (outcome.kind === "notRun") {
            // It certainly did not run, so the key is free and the caller may send it again.
            entries.delete(id);
            return outcome;
        }
        if (outcome.kind === "unknown") {
            entry.state = { kind: "unknown", code: outcome.code };
            return outcome;
        }
        const { answer, cached } = await bufferAnswer(outcome.answer, maxAnswerBytes);
        recordAnswer(entry, cached);
        return { kind: "ran", answer };
    }

    function start(id: string, request: KeyedRequest, execute: Execute): Promise<Outcome> {
        const existing = entries.get(id);
        invariants.check(resultCodes.ranTwice, existing === undefined, { range, key: request.key });
        // Counts as unknown until it is known to be running, so that no repeat can start in between.
        const state: KeyState = { kind: "unknown", code: resultCodes.internal };
        const entry: KeyEntry = { digest: request.digest, acceptedAtMs: nonDecreasingWallMs(), state };
        entries.set(id, entry);
        const ended = executeAndRecord(id, entry, execute).catch((error: unknown): Outcome => {
            entry.state = { kind: "unknown", code: codeOf(error) };
            return unknown(codeOf(error));
        });
        entry.state = { kind: "running", ended };
        return ended;
    }

    async function answerRepeat(entry: KeyEntry): Promise<Outcome> {
        const { state } = entry;
        switch (state.kind) {
            case "answered":
                return { kind: "ran", answer: replayAnswer(state.answer) };
            case "unknown":
                return unknown(state.code);
            case "lost":
                return unknown(resultCodes.keyTakenOver);
            case "running": {
                const outcome = await state.ended;
                return outcome.kind === "notRun" ? outcome : answerRepeat(entry);
            }
        }
    }

    async function run(request: KeyedRequest, execute: Execute): Promise<Outcome> {
        evictExpired();
        const id = `${request.team} ${request.key.toLowerCase()}`;
        const found = entries.get(id);
        if (found !== undefined && guards.isSeen(true)) {
            const isSame = found.digest === request.digest;
            return isSame ? answerRepeat(found) : notRun(resultCodes.keyReused);
        }
        const refusal = findRefusal(request.key);
        if (refusal !== undefined && refusal.kind !== "ran") {
            const { code, kind } = refusal;
            logger.warn("keyRefused", {
                range,
                team: request.team,
                code: code.number,
                name: code.name,
                outcome: kind,
            });
            return refusal;
        }
        return start(id, request, execute);
    }

    return { run, size: () => entries.size };
}
