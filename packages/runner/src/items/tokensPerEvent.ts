import type { BatchJob } from "@auburnarch/batches/BatchJob";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";

/** Tokens in one event of the engines that a job runs on; 1 where the configuration does not say. */
export function tokensPerEvent(table: RoutingTable | undefined, { host, path }: BatchJob): number {
    const service = table === undefined ? undefined : findRoute(table, host, path)?.backends[0]?.service;
    const limits = service === undefined ? undefined : table?.services.get(service);
    return limits?.tokensPerEvent ?? 1;
}
