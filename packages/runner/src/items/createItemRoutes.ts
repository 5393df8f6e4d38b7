import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Route } from "@auburnarch/routing/Route";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { ItemRun } from "./ItemRun.js";

/** Routes and services by the configuration in force. */
interface ItemRoutes {
    find(host: string, path: string): Route | undefined;
    /** The route of an item's own path. */
    ofItem(run: ItemRun): Route | undefined;
    /** The services that an item is sent to; none without a route. */
    servicesOf(run: ItemRun): ReadonlySet<ServiceId>;
    /** These and the services of earlier configurations, where the item may still be running. */
    allServicesOf(run: ItemRun): ReadonlySet<ServiceId>;
}

interface KnownServices {
    table: RoutingTable | undefined;
    current: ReadonlySet<ServiceId>;
    all: ReadonlySet<ServiceId>;
}

/** Creates the routes of items. The services of an item are looked up once for each configuration. */
export function createItemRoutes(routing: RoutingView): ItemRoutes {
    const services = new WeakMap<ItemRun, KnownServices>();

    function find(host: string, path: string): Route | undefined {
        const table = routing();
        return table === undefined ? undefined : findRoute(table, host, path);
    }

    const ofItem = ({ batchJob, item }: ItemRun): Route | undefined => find(batchJob.host, item.path);

    function lookUp(run: ItemRun): KnownServices {
        const table = routing();
        const known = services.get(run);
        if (known !== undefined && known.table === table) {
            return known;
        }
        const backends = ofItem(run)?.backends ?? [];
        const current = new Set(backends.filter(({ weight }) => weight > 0).map(({ service }) => service));
        const next = { table, current, all: new Set([...known?.all ?? [], ...current]) };
        services.set(run, next);
        return next;
    }

    return {
        find,
        ofItem,
        servicesOf: run => lookUp(run).current,
        allServicesOf: run => lookUp(run).all,
    };
}
