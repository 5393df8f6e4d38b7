import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { serveEngine } from "@auburnarch/fakes/serveEngine";
import type { Clock } from "@auburnarch/types/Clock";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Serves a fake engine that sends 50 tokens per second on each stream, one per chunk. Returns its port. */
export async function startFakeEngine(clock: Clock, random: Random): Promise<number> {
    const { engine } = createFakeEngine({
        clock,
        random,
        served: [{ policy: "bench" as PolicyId, version: 1 as WeightVersion }],
        maxBatch: 1_024,
        tokensPerSecond: 50,
        batchSlowdown: 0,
        chunkMs: 20,
        lengthOf: () => Number.MAX_SAFE_INTEGER,
    });
    return (await serveEngine(engine)).port;
}
