import type { ServiceManifest } from "@auburnarch/types/ServiceManifest";

/**
 * Whether a call may be repeated: calls to a rollout service always may; calls to a plain service only if `repeatable`
 * lists their method and a prefix of their path that ends at a segment boundary.
 */
export function isRepeatable(service: ServiceManifest, method: string, path: string): boolean {
    if (service.kind === "rollout") {
        return true;
    }
    const pathWithoutQuery = path.split("?", 1)[0]!;
    return service.repeatable.some(each => {
        const [listedMethod, prefix = "/"] = each.split(" ");
        const prefixWithSlash = prefix.endsWith("/") ? prefix : `${prefix}/`;
        return listedMethod === method
            && (pathWithoutQuery === prefix || pathWithoutQuery.startsWith(prefixWithSlash));
    });
}
