import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Logger } from "@auburnarch/types/Logger";
import type { RoutingView } from "./RoutingView.js";
import type { WatchedKind } from "./WatchedKind.js";

/**
 * Creates a view that only moves to higher configuration versions. A store that answers from an older state must not
 * remove a route that has already served requests; a lower version is therefore logged and ignored.
 */
export function createRoutingView(tables: WatchedKind<RoutingTable>, logger: Logger): RoutingView {
    let active: RoutingTable | undefined;

    function logIgnoredParts({ version, faults, services }: RoutingTable): void {
        for (const { field, fault } of faults) {
            logger.warn("configPartLeftOut", { version, field, fault });
        }
        for (const { service, wantsAutoscaling } of services.values()) {
            if (wantsAutoscaling) {
                logger.warn("samplersNotOrdered", { version, service, detail: "autoscale is not served" });
            }
        }
    }

    function refresh(): void {
        for (const table of tables.objects()?.values() ?? []) {
            const version = active?.version ?? -1;
            if (table.version > version) {
                logger.info("configInForce", {
                    version: table.version,
                    before: active?.version,
                    routes: table.routes.length,
                    teamKeys: table.teams?.size,
                });
                active = table;
                logIgnoredParts(table);
            }
            else if (table.version < version) {
                logger.warn("configOlderIgnored", { version: table.version, inForce: version });
            }
        }
    }

    refresh();
    tables.onChange(refresh);
    return () => active;
}
