/** A route of batch jobs, as the operator writes it. */
export const rolloutRoute = ({ name, prefix, service, ...others }) => ({
    name,
    host: "a.example",
    "path-prefix": prefix,
    kind: "rollout",
    service,
    "max-attempts": 3,
    "target-latency-ms": 400,
    "deadline-ms": 12_000,
    "item-ttl-s": 40,
    "timeout-ms": 10_000,
    streaming: true,
    resumable: true,
    ...others,
});

/** A route of plain requests. */
export const plainRoute = ({ name, prefix, service, ...others }) => ({
    name,
    host: "a.example",
    "path-prefix": prefix,
    kind: "idempotent",
    service,
    "max-attempts": 4,
    "target-latency-ms": 190,
    "timeout-ms": 1_500,
    ...others,
});

/** A configuration in full. */
export const encodeConfiguration = ({ version, routes, services }) => ({
    version,
    routes,
    services,
    limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 33_554_432,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
});

export const engineService = (name, models) => ({
    name,
    "max-conns": 170,
    engine: { models: models.map(model => ({ name: model })), stride: 1 },
});

export const plainService = name => ({ name, "max-conns": 110 });
