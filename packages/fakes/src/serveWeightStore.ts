import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightStore } from "@auburnarch/types/WeightStore";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import { serveJson } from "./serveJson.js";

/** Serves a weight store: `POST /downloads` with policy, version and location, answered when the transfer is complete. */
export function serveWeightStore(weightStore: WeightStore, port = 0): Promise<HttpServerHandle> {
    return serveJson(async call => {
        const body = call.body as { policy: PolicyId; version: WeightVersion; location: string; };
        await weightStore(body.policy, body.version, body.location);
        return { status: 200, value: {} };
    }, port);
}
