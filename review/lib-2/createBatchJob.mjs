import { site } from "./prepareSite.mjs";

/** A batch job of one step, as a trainer submits it; `hasRewards` adds a reward call to each item. */
export function createBatchJob({ id, items, groupSize = 4, step = 0, minVersion = 1, hasRewards = false }) {
    const names = Array.from({ length: items }, (_, index) => `${id}-item-${index}`);
    const body = {
        step,
        "model": site.model,
        "min-version": minVersion,
        "group-count": Math.ceil(items / groupSize),
        "items": names.map((name, index) => ({
            "id": name,
            "path": `${site.batchPath}${id}/${index}`,
            "headers": {
                "Auburnarch-Model": site.model,
                "Auburnarch-Token-Usage": "271,1040",
                "Auburnarch-Prompt-Prefix": `9c2e41:255,${(index + 4096).toString(16)}:16`,
            },
            "body": Buffer.from(`prompt of ${name}`).toString("base64"),
            "tokens": 1_311,
            "group-id": `${id}-group-${Math.floor(index / groupSize)}`,
            ...(hasRewards
                ? {
                    "scorer": {
                        id: `${name}-reward`,
                        host: site.host,
                        path: `${site.plainPath}${id}/${index}`,
                        body: Buffer.from("score").toString("base64"),
                    },
                }
                : {}),
        })),
    };
    return { id, items: names, path: `${site.batchPath}${id}`, body: JSON.stringify(body) };
}
