import { encodeTestBatchJob } from "@auburnarch/platform/testing/encodeTestBatchJob";
import { expect, test } from "vitest";
import { createCrowdTestBed } from "./testing/createCrowdTestBed.js";
import { crowdPieces } from "./testing/crowdPieces.js";
import { sendCrowd } from "./testing/sendCrowd.js";

type Member = Parameters<typeof sendCrowd>[1][number];
type Paths = Awaited<ReturnType<typeof createCrowdTestBed>>["paths"];

/** The smallest gateways and runners that are deployed run on VMs with so much memory. */
const maxPeakBytes = { gateway: 200_000_000, runner: 220_000_000 };
const maxBodyBytes = 33_554_432;
const blockBytes = 65_536;
const crowdSize = 20;
const maxOpenFiles = 300;
const batchJobItems = 30;
const itemBytes = 22_000;
/** The batch job is about as large as clients may send, and larger than an object of the store. */
const largeItemBytes = 800_000;
const maxTestMs = 120_000;

const members = (count: number, memberOf: (index: number) => Member): Member[] =>
    Array.from({ length: count }, (_, index) => memberOf(index));

interface CrowdPlan {
    membersAt: (paths: Paths) => Member[];
    /** Limit of the gateway's descriptors; the limit of the test if it is not lowered. */
    maxOpenFiles?: number;
    /** Statuses of which each member gets one; undefined if members need not get an answer. */
    statuses?: number[];
}

const bodies = (path: string, plan: Partial<Parameters<typeof crowdPieces>[1]>): Member[] =>
    members(crowdSize, index => ({
        pieces: () =>
            crowdPieces(`c-${index}`, {
                path,
                bytes: maxBodyBytes - blockBytes,
                chunkBytes: blockBytes,
                ...plan,
            }),
    }));

const overlong = { bytes: 3 * maxBodyBytes };
const tiny = { bytes: 150_000, chunkBytes: 1 };
const pipelined = Array.from(
    { length: 10_000 },
    (_, index) => `GET /tiles/1 HTTP/1.1\r\nhost: a.example\r\nauburnarch-request-id: p-${index}\r\n\r\n`,
).join("");
const halfHead = "POST /tiles/1 HTTP/1.1\r\nhost: a.ex";

/** A batch job of a size that the platform's store takes. */
function encodeBatchJob(lot: string, bodyBytes = itemBytes): string {
    const items = Array.from({ length: batchJobItems }, (_, index) => `${lot}-${index}`);
    const job = { lot, model: "m0", step: 0, minVersion: 1, items, groupSize: 4, bodyBytes };
    return encodeTestBatchJob(job);
}

function wholeBatchJob(lot: string): string[] {
    const body = encodeBatchJob(lot);
    const head = `POST /m0/${lot} HTTP/1.1\r\nhost: a.example\r\nauburnarch-request-id: ${lot}`;
    return [`${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`];
}

const plans: Record<string, CrowdPlan> = {
    "bodies in large chunks that stop short": { membersAt: ({ plain }) => bodies(plain, {}) },
    "batch jobs in large chunks that stop short": { membersAt: ({ batchJob }) => bodies(batchJob, {}) },
    "bodies of an announced length that stop short": {
        membersAt: ({ plain }) => bodies(plain, { announcedBytes: maxBodyBytes }),
    },
    "bodies in chunks of a byte": { membersAt: ({ plain }) => bodies(plain, tiny) },
    "batch jobs in chunks of a byte": { membersAt: ({ batchJob }) => bodies(batchJob, tiny) },
    "whole batch jobs": {
        membersAt: () => members(2 * crowdSize, index => ({ pieces: () => wholeBatchJob(`lot${index}`) })),
    },
    "bodies far over the limit": {
        membersAt: ({ plain }) => bodies(plain, overlong),
        // On a slow machine the time of the route may pass before a body reaches the limit.
        statuses: [413, 503, 504],
    },
    "bodies announced far over the limit": {
        membersAt: ({ plain }) => bodies(plain, { announcedBytes: overlong.bytes, ...overlong }),
        statuses: [413],
    },
    "connections that leave within a body": {
        membersAt: ({ plain }) => bodies(plain, {}).map(member => ({ ...member, isLeaving: true })),
    },
    "connections that send nothing": {
        membersAt: () => members(2 * maxOpenFiles, () => ({ pieces: () => [] })),
        maxOpenFiles,
    },
    "connections with half a head": {
        membersAt: () => members(2 * maxOpenFiles, () => ({ pieces: () => [halfHead] })),
        maxOpenFiles,
    },
    "connections with a part of a body": {
        membersAt: ({ plain: path }) =>
            members(2 * maxOpenFiles, index => ({
                pieces: () =>
                    crowdPieces(`c-${index}`, {
                        path,
                        bytes: 1_000,
                        chunkBytes: 1_000,
                        announcedBytes: 2_000,
                    }),
            })),
        maxOpenFiles,
    },
    "connections of which each second one leaves": {
        membersAt: () =>
            members(2 * maxOpenFiles, index => ({ pieces: () => [halfHead], isLeaving: index % 2 === 0 })),
        maxOpenFiles,
    },
    "pipelined requests whose answers are not read": {
        membersAt: () => members(crowdSize, () => ({ pieces: () => [pipelined], isReading: false })),
        maxOpenFiles,
    },
};

test.each(Object.keys(plans))("a gateway outlives %s and answers a request beside them", async name => {
    // Guards against clients that end a process or keep all others out.
    const { membersAt, statuses, maxOpenFiles: openFiles } = plans[name]!;
    const testBed = await createCrowdTestBed(openFiles === undefined ? {} : { maxOpenFiles: openFiles });
    try {
        const crowd = await sendCrowd(testBed.port, membersAt(testBed.paths));
        const status = await testBed.callOnce(testBed.paths.plain, "ordinary");
        const gateway = await testBed.gatewayState();
        const runner = await testBed.runnerState();
        const received = crowd.statuses();
        crowd.close();
        const seen = { gateway, runner, status, received: [...new Set(received)] };
        expect({
            ended: [gateway.ended, runner.ended],
            isGatewayBounded: gateway.peakBytes < maxPeakBytes.gateway,
            isRunnerBounded: runner.peakBytes < maxPeakBytes.runner,
            hasSpareFiles: gateway.openFiles < (openFiles ?? Infinity),
            status,
            others: statuses === undefined ? [] : received.filter(each => !statuses.includes(each)),
        }, JSON.stringify(seen)).toEqual({
            ended: [undefined, undefined],
            isGatewayBounded: true,
            isRunnerBounded: true,
            hasSpareFiles: true,
            status: 200,
            others: [],
        });
    }
    finally {
        await testBed.close();
    }
}, maxTestMs);

test(
    "a request of the largest size is served in calm, and a batch job too large to store is refused",
    async () => {
        // Guards against a bound that refuses clients within the limits.
        const testBed = await createCrowdTestBed();
        try {
            const statuses = [
                await testBed.callOnce(testBed.paths.plain, Buffer.alloc(maxBodyBytes)),
                await testBed.callOnce(testBed.paths.plain, Buffer.alloc(maxBodyBytes)),
                await testBed.callOnce(testBed.paths.plain, "ordinary"),
                await testBed.callOnce(testBed.paths.batchJob, encodeBatchJob("lot")),
                await testBed.callOnce(testBed.paths.batchJob, encodeBatchJob("large", largeItemBytes)),
            ];
            const seen = await testBed.gatewayState();
            const { ended, peakBytes } = seen;
            expect(
                { statuses, ended, isBounded: peakBytes < maxPeakBytes.gateway },
                JSON.stringify(seen),
            ).toEqual({ statuses: [200, 200, 200, 202, 413], ended: undefined, isBounded: true });
        }
        finally {
            await testBed.close();
        }
    },
    maxTestMs,
);
