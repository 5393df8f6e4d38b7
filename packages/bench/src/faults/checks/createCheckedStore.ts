import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Violations } from "./Violations.js";

const fencedKeys = /^jobs\/[^/]+\/(weights|checkpoint)$/u;

interface FencedValue {
    fencing?: number;
    published?: { version: number; };
}

interface CheckedStore {
    store: ObjectStore;
    /** The job lease's current fencing number; a write whose answer was lost becomes visible with the next renewal. */
    trueFencing(): number;
}

/** Wraps the object API and checks that fencing numbers and published versions in it never decrease. */
export function createCheckedStore(
    store: ObjectStore,
    violations: Violations,
    leaseKey: string,
): CheckedStore {
    let fencing = 0;
    const latest = new Map<string, { value: FencedValue; version: number; }>();

    function compare(key: string, earlier: FencedValue, later: FencedValue): void {
        if ((later.fencing ?? 0) < (earlier.fencing ?? 0)) {
            violations.add("fencingWentBack", `${key}: ${earlier.fencing} to ${later.fencing}`);
        }
        if ((later.published?.version ?? 0) < (earlier.published?.version ?? 0)) {
            violations.add(
                "weightsWentBack",
                `${key}: ${earlier.published?.version} to ${later.published?.version}`,
            );
        }
    }

    /** Answers may arrive in another order than the writes took effect; the object versions give that order. */
    function check(key: string, value: FencedValue, version: number): void {
        const known = latest.get(key);
        if (known !== undefined && known.version > version) {
            compare(key, value, known.value);
            return;
        }
        compare(key, known?.value ?? {}, value);
        latest.set(key, { value, version });
    }

    const write: ObjectStore["write"] = async (key, value, expected) => {
        const outcome = await store.write(key, value, expected);
        if (outcome.kind === "written" && fencedKeys.test(key)) {
            check(key, value as FencedValue, outcome.version);
        }
        if (outcome.kind === "written" && key === leaseKey) {
            fencing = Math.max(fencing, (value as FencedValue).fencing ?? outcome.version);
        }
        return outcome;
    };
    return { store: { ...store, write }, trueFencing: () => fencing };
}
