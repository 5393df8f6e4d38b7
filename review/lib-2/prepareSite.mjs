import { createLink } from "./createLink.mjs";
import { createSampler } from "./createSampler.mjs";

/** Host and paths of the routes of a case. */
export const site = {
    host: "ficu95.example",
    plainPath: "/pufi791/",
    batchPath: "/pule252/",
    model: "daka510000",
    plainService: "wuno96b",
    modelService: "huvo11a",
};

/** The configuration with one route for plain requests, which may be repeated, and one for batch jobs. */
export const encodeConfiguration = (version, extraRoutes = []) => ({
    version,
    routes: [
        {
            "name": "r-plain",
            "host": site.host,
            "path-prefix": site.plainPath,
            "kind": "idempotent",
            "timeout-ms": 2_000,
            "target-latency-ms": 186,
            "priority": 2,
            "service": site.plainService,
            "max-attempts": 4,
        },
        {
            "name": "r-batch",
            "host": site.host,
            "path-prefix": site.batchPath,
            "kind": "rollout",
            "timeout-ms": 10_000,
            "target-latency-ms": 500,
            "priority": 1,
            "service": site.modelService,
            "max-attempts": 3,
            "deadline-ms": 7_500,
            "item-ttl-s": 40,
        },
        ...extraRoutes,
    ],
    services: [
        {
            "name": site.plainService,
            "health-path": "/health",
            "max-conns": 110,
            "protocol": "h1",
            "tls": false,
        },
        {
            "name": site.modelService,
            "health-path": "/health",
            "max-conns": 180,
            "protocol": "h1",
            "tls": false,
            "engine": { models: [{ name: site.model }], stride: 52 },
        },
    ],
    limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 33_554_432,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
});

/** Writes the configuration and starts samplers, each behind a link of its own. */
export async function prepareSite(bed, { modelSamplers, plainSamplers, sampler = {} }) {
    const samplers = [];
    bed.store.put("config", "main", encodeConfiguration(1));
    for (let index = 0; index < modelSamplers + plainSamplers; index++) {
        const isModel = index < modelSamplers;
        const created = await createSampler({
            id: `i-${isModel ? "model" : "plain"}-${index}`,
            service: isModel ? site.modelService : site.plainService,
            zone: "pamplona",
            models: isModel ? [site.model] : [],
            slots: isModel ? 16 : 6,
            onEntry: (id, entry) => bed.store.put("servers", id, entry),
            ...sampler,
        });
        const link = await createLink("127.0.0.1", () => created);
        created.setAddress(link.host, link.port);
        bed.store.put("servers", created.id, created.entry());
        bed.closers.push(() => link.close(), () => created.close());
        samplers.push({ sampler: created, link, isModel });
    }
    return samplers;
}
