import type { CallerRequest } from "@auburnarch/entry/CallerRequest";
import { outcomeOfError } from "@auburnarch/entry/outcomeOfError";
import { hashText } from "@auburnarch/fakes/hashText";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { CallerRecord } from "./CallerRecord.js";
import { createUuidV7 } from "./createUuidV7.js";
import type { EntryNode } from "./EntryNode.js";
import { pickEntry } from "./pickEntry.js";
import type { Simulation } from "./Simulation.js";

interface CallerDeps {
    team: TeamId;
    service: ServiceId;
    entries: EntryNode[];
    /** True once the caller may stop sending new requests. */
    mayEnd: () => boolean;
}

/** A caller of the plain service that checks each answer against its request. */
interface Caller {
    run(): Promise<void>;
    /** Sends one more request immediately. */
    sendOne(idempotent: boolean, minSends?: number, resendAfterMs?: number): Promise<void>;
    /** Resends immediately the requests that wait for a long resend delay. */
    resendNow(): void;
    isFinished(): boolean;
    checkAtEnd(): void;
    /** Number of requests so far. */
    count(): number;
}

const callTimeoutMs = 3_000;
const meanIntervalMs = 250;
const budgetMs = 2_000;
const maxSends = 4;
const defaultResendMs = 300;

/** Creates a caller. After an unknown outcome it resends the same idempotency key through a randomly picked entry. */
export function createCaller(simulation: Simulation, deps: CallerDeps): Caller {
    const { clock, network, violations, observer } = simulation;
    const random = simulation.random.fork();
    const records: CallerRecord[] = [];
    let count = 0;
    let open = 0;
    let hasEnded = false;
    let mayWaitLong = true;
    const longWaits = new AbortController();

    function newRequest(idempotent: boolean): CallerRequest {
        count++;
        return {
            team: deps.team,
            service: deps.service,
            method: idempotent ? "GET" : "POST",
            path: idempotent ? `/tiles/${count}` : `/alerts/${count}`,
            headers: {},
            body: Buffer.from(`body ${count}`),
            budgetMs,
            idempotencyKey: createUuidV7(clock, random),
            idempotent: undefined,
            forwarded: false,
        };
    }

    async function checkAnswer(request: CallerRequest, answer: PlainAnswer): Promise<"ran" | "unknown"> {
        const parts: Uint8Array[] = [];
        try {
            for await (const part of answer.body) {
                parts.push(part);
            }
        }
        catch {
            // The answer was truncated, and the caller was notified.
            return "unknown";
        }
        const bodyHash = hashText(Buffer.from(request.body).toString("latin1"));
        const expected = JSON.stringify({ method: request.method, path: request.path, bodyHash });
        const received = Buffer.concat(parts).toString();
        if (received !== expected) {
            violations.add("answerMixed", `${request.path}: ${received}`);
        }
        return "ran";
    }

    async function send(request: CallerRequest): Promise<CallerRecord["outcomes"][number]> {
        const entry = pickEntry(deps.entries, random);
        const abort = new AbortController();
        const sent = network.exchange(
            "caller",
            entry.name,
            () => entry.enter(present => present.call(request, abort.signal)),
        );
        const timeout = clock.sleep(callTimeoutMs, abort.signal).then((): "late" => "late");
        try {
            const ended = await Promise.race([sent, timeout]);
            if (ended === "late" || ended.kind === "broken") {
                return "unknown";
            }
            return ended.kind === "notSent" ? "notRun" : await checkAnswer(request, ended.answer);
        }
        catch (error) {
            return outcomeOfError(error);
        }
        finally {
            sent.catch(() => undefined);
            abort.abort();
        }
    }

    function waitToResend(afterMs: number): Promise<void> {
        return mayWaitLong ? clock.sleep(afterMs, longWaits.signal) : clock.sleep(defaultResendMs);
    }

    async function sendOne(
        idempotent: boolean,
        minSends = 1,
        resendAfterMs = defaultResendMs,
    ): Promise<void> {
        const request = newRequest(idempotent);
        const record: CallerRecord = { key: request.idempotencyKey!, idempotent, outcomes: [] };
        records.push(record);
        open++;
        const limit = resendAfterMs === defaultResendMs ? maxSends : minSends;
        for (let sent = 0; sent < limit; sent++) {
            const outcome = await send(request);
            record.outcomes.push(outcome);
            if (outcome === "ran" && sent + 1 >= minSends) {
                break;
            }
            if (sent + 1 < limit) {
                await waitToResend(resendAfterMs);
            }
        }
        open--;
    }

    /** A request whose attempts all ended with "not run" must never have run. */
    function checkAtEnd(): void {
        for (const { key, outcomes } of records) {
            const neverRan = outcomes.length > 0 && outcomes.every(outcome => outcome === "notRun");
            if (neverRan && observer.countPlainRuns(key) > 0) {
                violations.add("notRunButRan", `key ${key}`);
            }
        }
    }

    return {
        run: async () => {
            while (!deps.mayEnd()) {
                void sendOne(random.nextUnit() < 0.5);
                await clock.sleep(meanIntervalMs * (0.5 + random.nextUnit()));
            }
            hasEnded = true;
        },
        sendOne,
        resendNow: () => {
            mayWaitLong = false;
            longWaits.abort();
        },
        isFinished: () => hasEnded && open === 0,
        checkAtEnd,
        count: () => records.length,
    };
}
