import { clientCalls } from "@auburnarch/platform/testing/clientCalls";
import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import { checkPage } from "./checkPage.js";
import type { Program } from "./Program.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";
import type { StepRecord } from "./StepRecord.js";

interface TrainerDeps {
    bed: SoakTestBed;
    clock: Clock;
    random: Random;
    checker: PromiseChecker;
    model: string;
}

interface Trainer {
    /** Runs one step and names the next version if the step was read completely; resolves with the step's record. */
    runStep(limitMs: number): Promise<StepRecord>;
    steps(): StepRecord[];
    /** Reads a batch job from the start at one gateway; false if it got no successful answer. */
    readAgain(step: StepRecord, gateway: Program): Promise<boolean>;
    close(): void;
}

const itemsPerStep = 8;
const groupSize = 4;
const maxSubmitAttempts = 12;
const maxEndAttempts = 10;
const retryMs = 150;
const waitMs = 700;
const accepted = 202;
const ok = 200;
const notFound = 404;
/** A batch job must be known at every gateway this long after it was accepted. */
const settleMs = 1_000;

/** Creates a trainer that submits a step, reads it at any gateway from any position, ends it and names a version. */
export function createSoakTrainer({ bed, clock, random, checker, model }: TrainerDeps): Trainer {
    const client = createFakeClient(soakTeam.key);
    const steps: StepRecord[] = [];
    const anyGateway = (): Program => bed.gateways[random.nextInt(bed.gateways.length)]!;

    async function submit(step: StepRecord): Promise<void> {
        const body = encodeTestBatchJob({ ...step, step: steps.length, groupSize });
        for (let attempts = 0; attempts < maxSubmitAttempts && !step.isAccepted; attempts++) {
            const call = clientCalls.submit(model, step.lot, body);
            const reply = await client.call(anyGateway().clientPort, call);
            const status = reply.kind === "answered" ? reply.status : 0;
            step.submissions.push(status);
            step.isAccepted = status === accepted;
            checker.check(status !== notFound, "a known route is not refused", { lot: step.lot });
            await clock.sleep(step.isAccepted ? 0 : retryMs);
        }
    }

    async function readOnce(
        step: StepRecord,
        gateway: Program,
        after: number,
        acceptedAtMs: number,
    ): Promise<number> {
        const reply = await client.call(gateway.clientPort, { ...clientCalls.read(step.lot, after), waitMs });
        if (reply.kind !== "answered") {
            return after;
        }
        const isSettled = clock.monotonicMs() - acceptedAtMs > settleMs;
        checker.check(!isSettled || reply.status !== notFound, "an accepted job is known", {
            lot: step.lot,
            gateway: gateway.name,
        });
        return reply.status === ok
            ? checkPage(bed, checker, step, after, reply.body, clock.monotonicMs()).next
            : after;
    }

    async function readAll(step: StepRecord, limitMs: number): Promise<void> {
        const acceptedAtMs = clock.monotonicMs();
        let next = 0;
        while (step.positions.size < step.items.length && clock.monotonicMs() - acceptedAtMs < limitMs) {
            const isEarlier = next > 0 && random.nextInt(4) === 0;
            const from = isEarlier ? random.nextInt(next) : next;
            next = Math.max(next, await readOnce(step, anyGateway(), from, acceptedAtMs));
            await clock.sleep(100 + random.nextInt(300));
        }
    }

    async function end(step: StepRecord): Promise<void> {
        step.isEndRequested = true;
        for (let attempts = 0; attempts < maxEndAttempts && step.endedAtMs === undefined; attempts++) {
            const reply = await client.call(anyGateway().clientPort, clientCalls.end(step.lot));
            if (reply.kind === "answered" && reply.status === ok) {
                step.endedAtMs = clock.monotonicMs();
            }
            else {
                await clock.sleep(retryMs);
            }
        }
    }

    return {
        runStep: async limitMs => {
            const lot = `${model}-${steps.length}`;
            const version = bed.versions.get(model)!;
            const step: StepRecord = {
                lot,
                model,
                minVersion: Math.max(1, version - 1),
                items: Array.from({ length: itemsPerStep }, (_, index) => `${lot}-i${index}`),
                submissions: [],
                isAccepted: false,
                positions: new Map(),
                endedAtMs: undefined,
                isEndRequested: false,
            };
            steps.push(step);
            await submit(step);
            if (!step.isAccepted) {
                return step;
            }
            await readAll(step, limitMs);
            const isComplete = step.positions.size === step.items.length;
            await end(step);
            if (isComplete) {
                bed.nameVersion(model, version + 1);
            }
            return step;
        },
        steps: () => steps,
        readAgain: async (step, gateway) => {
            const reply = await client.call(gateway.clientPort, clientCalls.read(step.lot, 0));
            const isAnswered = reply.kind === "answered" && reply.status === ok;
            if (isAnswered) {
                checkPage(bed, checker, step, 0, reply.body, clock.monotonicMs());
            }
            return isAnswered;
        },
        close: client.close,
    };
}
