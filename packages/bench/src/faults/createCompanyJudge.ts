import type { SidecarProcess } from "./SidecarProcess.js";
import type { Violations } from "./Violations.js";

/** Judges in whose company contents run. */
interface CompanyJudge {
    start(
        node: string,
        attempt: string,
        arrival: { digest: string; sidecar: SidecarProcess; } | undefined,
    ): void;
    end(node: string, attempt: string): void;
}

/** Makes the judge: two contents that are known as suspects everywhere must not run beside each other. */
export function createCompanyJudge(
    violations: Violations,
    listSuspects: () => ReadonlySet<string>,
): CompanyJudge {
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
            const own = arrival.sidecar.gate.report().suspects.map(each => each.digest);
            const suspects = new Set<string>([...listSuspects(), ...own]);
            if (suspects.has(arrival.digest) && others.some(digest => suspects.has(digest))) {
                violations.add("suspectsTogether", node);
            }
            runningAt(node).set(attempt, arrival.digest);
        },
        end: (node, attempt) => void runningAt(node).delete(attempt),
    };
}
