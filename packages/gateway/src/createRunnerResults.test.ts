import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRunnerCaller } from "@auburnarch/feeds/createRunnerCaller";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createRunnerResults } from "./createRunnerResults.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const batchJobId = "lot-1" as BatchJobId;

function createFixture(answerOf: (port: number) => ResultsAnswer) {
    const clock = createFakeClock();
    const asked: number[] = [];
    const caller = createRunnerCaller({
        self: "front-1",
        runners: () => new Map([1, 2, 3].map(port => [`r${port}`, { host: "h", port }])),
        clock,
        logger: silent,
    });
    const source = createRunnerResults({
        caller,
        send: async ({ port }) => {
            asked.push(port);
            return answerOf(port);
        },
    });
    return { clock, asked, source };
}

const known: ResultsAnswer = { kind: "known", total: 4, team: undefined, chunks: [], hasMore: false };

test("the runner named by another one is queried, and later queries go directly to it", async () => {
    const { asked, source } = createFixture(port => port === 2 ? known : { kind: "elsewhere", runner: "r2" });
    expect(await source(batchJobId, 0, 0)).toEqual({ total: 4, team: undefined, chunks: [], hasMore: false });
    const hops = asked.length;
    await source(batchJobId, 0, 500);
    await source(batchJobId, 1, 500);
    expect([hops <= 2, asked.at(-1), asked.length - hops]).toEqual([true, 2, 2]);
});

test("a runner that does not answer is skipped for a while, so that results are read from the store", async () => {
    // Guards against readers that wait for a crashed VM at each query.
    const { clock, asked, source } = createFixture(port => {
        if (port === 2) {
            throw new Error("no answer");
        }
        return { kind: "elsewhere", runner: "r2" };
    });
    const first = [
        await source(batchJobId, 0, 500),
        await source(batchJobId, 0, 500),
        await source(batchJobId, 0, 500),
    ];
    expect([first, asked.filter(port => port === 2).length]).toEqual([[undefined, undefined, undefined], 1]);
    await clock.advance(3_000);
    await source(batchJobId, 0, 500);
    expect(asked.filter(port => port === 2).length).toBe(2);
});

test("two runners that name each other are not queried forever", async () => {
    const { asked, source } = createFixture(port => ({
        kind: "elsewhere",
        runner: port === 1 ? "r2" : "r1",
    }));
    expect([await source(batchJobId, 0, 0), asked.length]).toEqual([undefined, 3]);
});
