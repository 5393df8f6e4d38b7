import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { RequestForwarder } from "../../RequestForwarder.js";
import { createTestRoute } from "../../testing/createTestRoute.js";
import type { CallerRecord } from "./CallerRecord.js";

interface CallerTeam {
    team: string;
    requestsPerS: number;
    priority?: number;
}

interface CallersOptions {
    teams: CallerTeam[];
    forwarders: RequestForwarder[];
    clock: Clock;
    random: Random;
    durationMs: number;
    deadlineMs?: number;
    targetMs?: number;
}

/** Callers honour Retry-After up to this share of the time that they have left. */
const maxShareOfLeft = 1 / 3;
const minLeftMs = 5;

/** Plays callers that send at random times to random gateways, and return after a refusal; fills `records`. */
export function playCallers(options: CallersOptions): CallerRecord[] {
    const { clock, random, forwarders, durationMs, deadlineMs = 2_000, targetMs = 150 } = options;
    const records: CallerRecord[] = [];
    let requests = 0;

    async function call({ team, priority }: CallerTeam): Promise<void> {
        const startedAtMs = clock.monotonicMs();
        const body = Buffer.from(`${requests}`);
        const record: CallerRecord = {
            team,
            requestIds: [],
            refusedIds: [],
            refusedAfterMs: [],
            returnedAtMs: [],
            servedAfterMs: undefined,
        };
        records.push(record);
        for (;;) {
            const sentAtMs = clock.monotonicMs();
            const leftMs = deadlineMs - (sentAtMs - startedAtMs);
            if (leftMs < minLeftMs) {
                return;
            }
            const requestId = `q${requests++}`;
            record.requestIds.push(requestId);
            const forward = forwarders[random.nextInt(forwarders.length)]!;
            const outcome = await forward({
                requestId,
                team: team as TeamId,
                teamPriority: priority,
                route: createTestRoute("idempotent", { targetLatencyMs: targetMs, timeoutMs: deadlineMs }),
                method: "POST",
                host: "a",
                path: "/",
                headers: {},
                body,
                deadlineMs: leftMs,
            }, new AbortController().signal);
            const nowMs = clock.monotonicMs();
            if (outcome.kind === "answered") {
                const tookMs = nowMs - startedAtMs;
                record.servedAfterMs = tookMs <= deadlineMs ? tookMs : undefined;
                return;
            }
            if (outcome.retryAfterMs === undefined) {
                return;
            }
            record.refusedIds.push(requestId);
            record.refusedAfterMs.push(nowMs - sentAtMs);
            const stillLeftMs = deadlineMs - (nowMs - startedAtMs);
            await clock.sleep(Math.min(outcome.retryAfterMs, stillLeftMs * maxShareOfLeft));
            record.returnedAtMs.push(clock.monotonicMs());
        }
    }

    async function send(team: CallerTeam): Promise<void> {
        const endMs = clock.monotonicMs() + durationMs;
        for (;;) {
            await clock.sleep(-Math.log(1 - random.nextUnit()) * 1_000 / team.requestsPerS);
            if (clock.monotonicMs() >= endMs) {
                return;
            }
            void call(team);
        }
    }

    options.teams.forEach(team => void send(team));
    return records;
}
