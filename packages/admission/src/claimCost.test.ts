import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { TeamId } from "@auburnarch/types/TeamId";
import { v7 } from "uuid";
import { expect, test } from "vitest";
import { createAnswerCacheBudget } from "./createAnswerCacheBudget.js";
import { createKeyRange } from "./createKeyRange.js";
import { replayAnswer } from "./replayAnswer.js";

type Execute = () => Promise<AttemptOutcome<PlainAnswer>>;
/** Admits one request with a key; true if it ran. */
type Admit = (key: string, execute: Execute) => Promise<boolean>;

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const storeWritesPerSecond = 300;
const storeLatencyMs = 3;
const seconds = 20;
const none = 0 as ObjectVersion;

/** The alternative to key ranges: a conditional write before the run and a write of the answer after it. */
const claimInStore = (store: ObjectStore): Admit => async (key, execute) => {
    try {
        const claim = await store.write(`claims/${key}`, { state: "running" }, none);
        if (claim.kind === "conflict") {
            return false;
        }
        await execute();
        await store.write(`claims/${key}`, { state: "answered" }, claim.version);
        return true;
    }
    catch {
        return false;
    }
};

async function measure(requestsPerSecond: number, strategy: "claim" | "range") {
    const clock = createFakeClock();
    const random = createRandom(1);
    const { store, control } = createFakeObjectStore({
        clock,
        random,
        latencyMs: storeLatencyMs,
        writesPerSecond: storeWritesPerSecond,
    });
    const range = createKeyRange({
        range: 0,
        lease: { isHeld: () => true },
        takenOverAtMs: undefined,
        clock,
        logger: silent,
        invariants: createInvariants(silent, () => {}),
        answerBudget: createAnswerCacheBudget(),
    });
    const inRange: Admit = async (key, execute) => {
        const outcome = await range.run({ team: "t" as TeamId, key, digest: "d" as ContentDigest }, execute);
        return outcome.kind === "ran";
    };
    const admit = strategy === "claim" ? claimInStore(store) : inRange;
    const addedMs: number[] = [];
    const send = async (): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        const execute: Execute = async () => ({
            kind: "ran",
            answer: replayAnswer({ status: 200, headers: {}, body: Buffer.from("answer") }),
        });
        if (await admit(v7({ msecs: clock.wallMs() }), execute)) {
            addedMs.push(clock.monotonicMs() - startedAtMs);
        }
    };
    const total = requestsPerSecond * seconds;
    for (let n = 0; n < total; n++) {
        clock.startTimer(n * 1_000 / requestsPerSecond, () => void send());
    }
    await clock.advance(seconds * 1_000 + 5_000);
    addedMs.sort((a, b) => a - b);
    const p50 = addedMs[Math.floor(addedMs.length / 2)] ?? 0;
    return {
        way: strategy,
        requestsPerSecond,
        admittedPart: Number((addedMs.length / total).toFixed(2)),
        storeWritesPerRequest: Number((control.calls().write / total).toFixed(2)),
        addedP50Ms: Number(p50.toFixed(1)),
    };
}

test("a claim in the object API for each request against the memory of a key range", async () => {
    const figures = [];
    for (const rate of [65, 130, 260, 520]) {
        figures.push(await measure(rate, "claim"), await measure(rate, "range"));
    }
    expect(figures).toMatchSnapshot();
});
