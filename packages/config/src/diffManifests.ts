import type { Manifest } from "@auburnarch/types/Manifest";

const lists = [
    { list: "teams", key: "team" },
    { list: "services", key: "service" },
    { list: "samplers", key: "sampler" },
    { list: "jobs", key: "job" },
] as const;

/** Token digests are abbreviated to their first digits, which is enough to distinguish them. */
const shownDigits = 8;

function show(value: unknown): string {
    if (Array.isArray(value)) {
        return `[${value.map(show).join(", ")}]`;
    }
    if (typeof value === "string" && /^[0-9a-f]{64}$/u.test(value)) {
        return `${value.slice(0, shownDigits)}…`;
    }
    return JSON.stringify(value);
}

function diffFields(label: string, before: object, after: object): string[] {
    const earlier = new Map(Object.entries(before));
    const later = new Map(Object.entries(after));
    const fields = [...new Set([...earlier.keys(), ...later.keys()])];
    return fields
        .filter(field => JSON.stringify(earlier.get(field)) !== JSON.stringify(later.get(field)))
        .map(field => `~ ${label} ${field}: ${show(earlier.get(field))} -> ${show(later.get(field))}`);
}

function diffRows(key: string, before: object[], after: object[]): string[] {
    const nameOf = (row: object): string => String((row as Record<string, unknown>)[key]);
    const earlier = new Map(before.map(row => [nameOf(row), row]));
    const later = new Map(after.map(row => [nameOf(row), row]));
    const removed = [...earlier.keys()].filter(name => !later.has(name)).map(name => `- ${key} ${name}`);
    const changed = [...later].flatMap(([name, row]) => {
        const old = earlier.get(name);
        return old === undefined ? [`+ ${key} ${name}`] : diffFields(`${key} ${name}`, old, row);
    });
    return [...removed, ...changed];
}

/** Lists the differences between two manifests, one line each: `-` removed, `+` added, `~` changed. */
export function diffManifests(before: Manifest | undefined, after: Manifest): string[] {
    if (before === undefined) {
        const added = lists.flatMap(({ list, key }) => diffRows(key, [], after[list]));
        return [`+ manifest ${after.name}`, ...added];
    }
    const renamed = before.name === after.name ? [] : [`~ manifest name: ${before.name} -> ${after.name}`];
    const rows = lists.flatMap(({ list, key }) => diffRows(key, before[list], after[list]));
    return [...renamed, ...rows, ...diffFields("limits", before.limits, after.limits)];
}
