import { expect, test } from "vitest";
import { crowdPieces } from "./testing/crowdPieces.js";
import { sendCrowd } from "./testing/sendCrowd.js";
import { startStandaloneProcess } from "./testing/startStandaloneProcess.js";

type BodyPlan = Parameters<typeof crowdPieces>[1];

/** The process holds entries, sidecars and the fakes of all outside systems. */
const heapLimitMb = 250;
const maxPeakBytes = 500_000_000;
const blockBytes = 65_536;
const crowdSize = 20;
const bodyBytes = 33_554_432;
const connections = 4_200;
const maxTestMs = 120_000;

const path = "/v1/jobs/plume-forecast/steps";
const plans: Record<string, Omit<BodyPlan, "path">> = {
    "bodies in large chunks that stop short": { bytes: bodyBytes, chunkBytes: blockBytes },
    "bodies of an announced length that stop short": {
        bytes: bodyBytes,
        chunkBytes: blockBytes,
        announcedBytes: 2 * bodyBytes,
    },
    "bodies in chunks of a byte": { bytes: 300_000, chunkBytes: 1 },
};

async function isHealthy(port: number): Promise<boolean> {
    const answer = await fetch(`http://127.0.0.1:${port}/healthz`).catch(() => undefined);
    return answer?.status === 200;
}

test.each(Object.keys(plans))(
    "the own interface outlives %s and answers a request beside them",
    async name => {
        // Guards against a team that ends an entry or keeps all others out.
        const entry = await startStandaloneProcess(heapLimitMb);
        try {
            const headers = [`authorization: Bearer ${entry.token}`];
            const member = { pieces: () => crowdPieces("c", { path, headers, ...plans[name]! }) };
            const crowd = await sendCrowd(entry.port, Array.from({ length: crowdSize }, () => member));
            const isAnswered = await isHealthy(entry.port);
            const seen = await entry.state();
            crowd.close();
            const { ended, peakBytes } = seen;
            expect({ ended, isBounded: peakBytes < maxPeakBytes, isAnswered }, JSON.stringify(seen)).toEqual({
                ended: undefined,
                isBounded: true,
                isAnswered: true,
            });
        }
        finally {
            entry.close();
        }
    },
    maxTestMs,
);

test("the own interface answers a request beside more silent connections than it keeps open", async () => {
    // Guards against connections that send nothing and keep all others out.
    const entry = await startStandaloneProcess(heapLimitMb);
    try {
        const crowd = await sendCrowd(
            entry.port,
            Array.from({ length: connections }, () => ({ pieces: () => [] })),
        );
        const isAnswered = await isHealthy(entry.port);
        const { ended } = await entry.state();
        crowd.close();
        expect({ ended, isAnswered }).toEqual({ ended: undefined, isAnswered: true });
    }
    finally {
        entry.close();
    }
}, maxTestMs);
