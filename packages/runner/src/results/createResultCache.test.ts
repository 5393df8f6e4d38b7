import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { BatchJobSummary } from "@auburnarch/batches/BatchJobSummary";
import type { ItemResult } from "@auburnarch/batches/ItemResult";
import type { ResultChunk } from "@auburnarch/batches/ResultChunk";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { expect, test } from "vitest";
import type { PeerView } from "../peers/PeerView.js";
import type { RunnerStatus } from "../peers/RunnerStatus.js";
import { createPeerView } from "../testing/createPeerView.js";
import { createContestedBatchJobs } from "./createContestedBatchJobs.js";
import { createResultCache } from "./createResultCache.js";
import { isSoleWriter } from "./isSoleWriter.js";

const batchJobId = "lot-1" as BatchJobId;
const chunkOf = (from: number, ...items: string[]): ResultChunk => ({
    from,
    writer: "w",
    results: items.map(item =>
        ({ item, state: "completed", output: item, versions: [], score: "s" }) as unknown as ItemResult
    ),
});

function createFixture() {
    const clock = createFakeClock();
    const state = {
        isSoleWriter: true,
        holder: undefined as string | undefined,
        stored: [] as ResultChunk[],
        isStoreDown: false,
        endedEntry: undefined as BatchJobSummary | undefined,
        reader: undefined as string | undefined,
        reads: 0,
    };
    const resultCache = createResultCache({
        store: {
            readChunk: async (_lot, number) => {
                state.reads++;
                if (state.isStoreDown) {
                    throw new ResultError(resultCodes.storeUnavailable, "away");
                }
                return state.stored[number];
            },
        },
        isSoleWriter: () => state.isSoleWriter,
        findHolder: () => state.holder,
        findEndedEntry: () => state.endedEntry,
        chooseReader: () => state.reader,
        clock,
    });
    const append = (...items: string[]): void => {
        const chunk = chunkOf(state.stored.reduce((sum, each) => sum + each.results.length, 0), ...items);
        state.stored.push(chunk);
        resultCache.addChunk(batchJobId, state.stored.length - 1, chunk);
    };
    const query = async (fromChunk: number, waitMs = 0): Promise<string> => {
        const asked = resultCache.answer(batchJobId, fromChunk, waitMs);
        await clock.advance(waitMs);
        return describeAnswer(await asked);
    };
    return { clock, state, resultCache, append, query };
}

function describeAnswer(answer: ResultsAnswer): string {
    if (answer.kind !== "known") {
        return JSON.stringify(answer);
    }
    const items = answer.chunks.map(chunk => chunk.results.map(result => result.item).join("+"));
    return `${answer.hasMore ? "part " : ""}${items.join(",")}/${answer.total}`;
}

test("chunks are served from memory as they are added, as is the end of a batch job after its run", async () => {
    const { clock, state, resultCache, append, query } = createFixture();
    expect(await query(0)).toBe('{"kind":"unsure"}');
    resultCache.open(batchJobId, { total: 3, team: undefined });
    expect(await query(0)).toBe('{"kind":"unsure"}');
    resultCache.markLoaded(batchJobId);
    append("a");
    expect([await query(0), await query(1)]).toEqual(["a/3", "/3"]);
    const waiting = resultCache.answer(batchJobId, 1, 1_000);
    await clock.advance(300);
    append("b", "c");
    expect(describeAnswer(await waiting)).toBe("b+c/3");
    resultCache.close(batchJobId);
    expect([await query(0), await query(2, 1_000), state.reads]).toEqual(["a,b+c/3", "/3", 0]);
});

test("a runner that may have been replaced asks the store before it reports that there is no further chunk", async () => {
    // Guards against a position that was read at one gateway being missing at another.
    const { clock, state, resultCache, append, query } = createFixture();
    resultCache.open(batchJobId, { total: 9, team: undefined });
    resultCache.markLoaded(batchJobId);
    append("a");
    state.isSoleWriter = false;
    state.stored.push(chunkOf(1, "b"));
    expect(await query(1)).toBe("part b/9");
    expect([await query(2), await query(2), state.reads]).toEqual(["/9", "/9", 2]);
    await clock.advance(750);
    expect([await query(2), state.reads]).toEqual(["/9", 3]);
    state.isStoreDown = true;
    await clock.advance(750);
    expect(await query(2)).toBe('{"kind":"unsure"}');
});

test("a runner whose batch job was also run by another asks the store once before it relies on its cache again", async () => {
    // Guards against three results that one gateway had returned for a second being missing at another.
    const { state, resultCache, append, query } = createFixture();
    resultCache.open(batchJobId, { total: 9, team: undefined });
    resultCache.markLoaded(batchJobId);
    append("a");
    expect([await query(1), state.reads]).toEqual(["/9", 0]);
    resultCache.markContested(() => true);
    state.stored.push(chunkOf(1, "b"));
    expect(await query(1)).toBe("part b/9");
    expect([await query(2), state.reads]).toEqual(["/9", 2]);
    resultCache.markContested(() => false);
    expect([await query(2), await query(2), state.reads]).toEqual(["/9", "/9", 2]);
});

test("a peer that runs or ran a batch job, or has not answered recently, may have recorded results of it", () => {
    const running = [{ lot: batchJobId }] as RunnerStatus["running"];
    const peers = [
        createPeerView("r2"),
        createPeerView("r2", { running }),
        createPeerView("r2", { keptLots: [batchJobId] }),
        { ...createPeerView("r2"), answerAgeMs: 1_000 },
    ];
    expect(peers.map(peer => isSoleWriter(batchJobId, [peer]))).toEqual([true, false, false, false]);
});

test("a peer that has restarted may have had any batch job before", () => {
    const contestedBatchJobs = createContestedBatchJobs();
    const peerOf = (incarnation: string, ...running: string[]): PeerView =>
        ({
            name: "r2",
            status: { incarnation, running: running.map(each => ({ lot: each })) },
        }) as unknown as PeerView;
    const isContested = [peerOf("1", "x"), peerOf("1"), peerOf("2"), peerOf("2")].map(peer =>
        contestedBatchJobs([peer])(batchJobId)
    );
    expect([...isContested, contestedBatchJobs([peerOf("2", batchJobId)])(batchJobId)]).toEqual([
        false,
        false,
        true,
        false,
        true,
    ]);
});

test("an ended batch job that no runner has is read once for all, by one runner", async () => {
    // Guards against each gateway reading results from the store: these were 743 of 3,320 store calls in a day that
    // ends with a power loss of all VMs.
    const { clock, state, query } = createFixture();
    state.stored = [chunkOf(0, "a"), chunkOf(1, "b", "c")];
    expect([await query(0), state.reads]).toEqual(['{"kind":"unsure"}', 0]);
    state.endedEntry = { total: 3, team: undefined };
    state.reader = "r2";
    expect([await query(0), state.reads]).toEqual(['{"kind":"elsewhere","runner":"r2"}', 0]);
    state.reader = undefined;
    expect(await Promise.all([query(0), query(1), query(2)])).toEqual(["a,b+c/3", "b+c/3", "/3"]);
    await clock.advance(5_000);
    expect([await query(0), state.reads]).toEqual(["a,b+c/3", 2]);
});

test("an ended but incomplete batch job is checked for further chunks again, and an unreadable one is not served", async () => {
    const { clock, state, query } = createFixture();
    state.stored = [chunkOf(0, "a")];
    state.endedEntry = { total: 3, team: undefined };
    state.isStoreDown = true;
    expect(await query(0)).toBe('{"kind":"unsure"}');
    state.isStoreDown = false;
    await clock.advance(1_000);
    expect([await query(0), state.reads]).toEqual(["a/3", 3]);
    state.stored.push(chunkOf(1, "b"));
    await clock.advance(1_000);
    expect(await query(1)).toBe("part b/3");
});

test("queries for a batch job that another runner has are redirected to it", async () => {
    const { state, resultCache, append, query } = createFixture();
    resultCache.open(batchJobId, { total: 2, team: undefined });
    resultCache.markLoaded(batchJobId);
    append("a");
    state.holder = "r2";
    expect(await query(0)).toBe("a/2");
    resultCache.close(batchJobId);
    expect(await query(0)).toBe('{"kind":"elsewhere","runner":"r2"}');
});

test("all chunks that another runner recorded are requested", async () => {
    // Guards against the last position of a complete batch job being missing at one gateway.
    const { state, resultCache, append, query } = createFixture();
    resultCache.open(batchJobId, { total: 4, team: undefined });
    resultCache.markLoaded(batchJobId);
    append("a");
    resultCache.close(batchJobId);
    state.isSoleWriter = false;
    state.stored.push(chunkOf(1, "b"), chunkOf(2, "c"));
    expect([await query(0), await query(1), await query(2), await query(3)]).toEqual([
        "part a/4",
        "part b/4",
        "part c/4",
        "/4",
    ]);
});
