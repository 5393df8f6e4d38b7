import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import type { VersionHistory } from "./VersionHistory.js";

/** A stored change; `json` is undefined if the object was removed. */
interface Change {
    key: string;
    version: number;
    json: string | undefined;
}

const versionsKeptPerKey = 64;

const toChange = (change: Change): StoredChange => ({
    key: change.key,
    version: change.version as ObjectVersion,
    value: change.json === undefined ? undefined : JSON.parse(change.json) as unknown,
});

const toObject = (change: Change): StoredObject => toChange(change) as StoredObject;

/** Creates a history of objects with their past versions and at least the last `historyChanges` changes in order. */
export function createVersionHistory(historyChanges: number): VersionHistory {
    const versionsOf = new Map<string, Change[]>();
    let history: Change[] = [];
    let revision = 0;

    function changeAt(key: string, atRevision: number): Change | undefined {
        const versions = versionsOf.get(key) ?? [];
        const visible = versions.findLast(change => change.version <= atRevision);
        return visible?.json === undefined ? undefined : visible;
    }

    function listAt(prefix: string, atRevision: number): StoredObject[] {
        const keys = [...versionsOf.keys()].filter(key => key.startsWith(prefix)).sort();
        return keys.flatMap(key => changeAt(key, atRevision) ?? []).map(toObject);
    }

    function commit(key: string, json: string | undefined): ObjectVersion {
        revision++;
        const change: Change = { key, version: revision, json };
        versionsOf.set(key, [...(versionsOf.get(key) ?? []), change].slice(-versionsKeptPerKey));
        history.push(change);
        if (history.length > historyChanges * 2) {
            history = history.slice(-historyChanges);
        }
        return revision as ObjectVersion;
    }

    function commitIf(key: string, json: string | undefined, expected: ObjectVersion): WriteOutcome {
        const current = changeAt(key, revision);
        if ((current?.version ?? 0) !== expected) {
            return { kind: "conflict", current: current === undefined ? undefined : toObject(current) };
        }
        return { kind: "written", version: commit(key, json) };
    }

    function changesSince(prefix: string, since: number): ReturnType<VersionHistory["changesSince"]> {
        const oldestKnown = history[0]?.version ?? revision + 1;
        const isBehind = since + 1 < oldestKnown;
        if (isBehind) {
            const changes = listAt(prefix, revision);
            return { changes, revision: revision as ObjectVersion, relisted: true };
        }
        const changes = history.filter(change => change.version > since && change.key.startsWith(prefix));
        return { changes: changes.map(toChange), revision: revision as ObjectVersion };
    }

    return {
        revision: () => revision as ObjectVersion,
        readAt: (key, atRevision) => {
            const change = changeAt(key, atRevision);
            return change === undefined ? undefined : toObject(change);
        },
        listAt,
        commitIf,
        changesSince,
    };
}
