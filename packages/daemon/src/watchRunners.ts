import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { watchKind } from "@auburnarch/discovery/watchKind";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { z } from "zod";
import { decodeWith } from "./decodeWith.js";
import { runnersKind } from "./runnersKind.js";
import { slowWaitMs } from "./slowWaitMs.js";

const addressSchema = z.object({ host: z.string(), port: z.number() });

/** Watches the registered addresses of the runners. */
export function watchRunners(
    watched: { store: ObjectStore; clock: Clock; logger: Logger; },
): WatchedKind<RunnerAddress> {
    return watchKind({
        ...watched,
        kind: runnersKind,
        decode: decodeWith(addressSchema),
        waitMs: slowWaitMs,
    });
}
