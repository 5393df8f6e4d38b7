import { batchJobKinds } from "@auburnarch/batches/batchJobKinds";
import { trialRecordsKind } from "@auburnarch/forwarding/trialRecordsKind";
import { runnersKind } from "./runnersKind.js";

/** Kinds that this system itself writes; a peer's call can thus not change the configuration or a sampler's entry. */
const relayedKinds: ReadonlySet<string> = new Set([
    ...Object.values(batchJobKinds),
    runnersKind,
    trialRecordsKind,
    "runner-leases",
    "usage-reports",
]);

/** Whether runners make store calls for this key on behalf of peers. */
export const isRelayableKey = (key: string): boolean => relayedKinds.has(key.slice(0, key.indexOf("/")));
