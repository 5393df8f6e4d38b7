import type { SidecarProcess } from "../SidecarProcess.js";
import type { Violations } from "./Violations.js";

/** Checks which requests run beside each other at an engine. */
interface SuspectIsolationCheck {
    start(
        node: string,
        attempt: string,
        arrival: { digest: string; process: SidecarProcess; } | undefined,
    ): void;
    end(node: string, attempt: string, isClean: boolean): void;
}

/**
 * Creates the check: two requests whose contents are known as suspects everywhere, or to the sidecar itself, must not
 * run beside each other. A content that has run to completion since its latest crash is no longer a suspect, even while
 * the stored list still contains it.
 */
export function createSuspectIsolationCheck(
    violations: Violations,
    wallMs: () => number,
    listSuspects: () => ReadonlyMap<string, number>,
): SuspectIsolationCheck {
    const cleanEndAtMs = new Map<string, number>();
    const running = new Map<string, Map<string, string>>();

    const runningAt = (node: string): Map<string, string> => {
        const present = running.get(node) ?? new Map<string, string>();
        running.set(node, present);
        return present;
    };

    return {
        start: (node, attempt, arrival) => {
            if (arrival === undefined) {
                return;
            }
            const others = [...runningAt(node).values()].filter(digest => digest !== arrival.digest);
            const own = arrival.process.sidecar.report().suspects.map(each => each.digest);
            const listed = [...listSuspects()]
                .filter(([digest, lastCrashAtMs]) => lastCrashAtMs > (cleanEndAtMs.get(digest) ?? 0))
                .map(([digest]) => digest);
            const suspects = new Set<string>([...listed, ...own]);
            if (suspects.has(arrival.digest) && others.some(digest => suspects.has(digest))) {
                violations.add("suspectsTogether", node);
            }
            runningAt(node).set(attempt, arrival.digest);
        },
        end: (node, attempt, isClean) => {
            const digest = runningAt(node).get(attempt);
            if (isClean && digest !== undefined) {
                cleanEndAtMs.set(digest, wallMs());
            }
            runningAt(node).delete(attempt);
        },
    };
}
