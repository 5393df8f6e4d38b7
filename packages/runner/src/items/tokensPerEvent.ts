import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";

/** Tokens per event of the engines that run a batch job; 1 if the configuration does not state it. */
export function tokensPerEvent(table: RoutingTable | undefined, { host, path }: BatchJob): number {
    const service = table === undefined ? undefined : findRoute(table, host, path)?.backends[0]?.service;
    const limits = service === undefined ? undefined : table?.services.get(service);
    return limits?.tokensPerEvent ?? 1;
}
