import type { RunParts } from "./RunParts.js";

const checkIntervalMs = 400;
interface RunWatch {
    stop(): void;
    /** Number of owners that the job has had so far. */
    owners(): number;
}

/** Checks all processes at a fixed interval: their configuration versions must never decrease. */
export function watchRun(parts: RunParts): RunWatch {
    const { clock, violations } = parts.simulation;
    const nodes = [...parts.models.map(model => model.node), ...parts.plains.map(plain => plain.node)];
    const versions = new Map<string, number>();
    const fencingNumbers = new Set<number>();
    let isStopped = false;

    /** `run` identifies one incarnation of a process; after a restart its version starts again. */
    function checkConfig(run: string, version: number): void {
        if (version < (versions.get(run) ?? 0)) {
            violations.add("configReverted", `${run}: ${versions.get(run)} to ${version}`);
        }
        versions.set(run, version);
    }

    function check(): void {
        for (const node of nodes) {
            const report = node.sidecar()?.report();
            if (report !== undefined) {
                checkConfig(report.incarnation, report.configVersion);
            }
        }
        for (const entry of parts.entries) {
            const fencing = entry.ownedFencing();
            if (fencing !== undefined) {
                fencingNumbers.add(fencing);
            }
            parts.simulation.storeReachableForMs(entry.name);
        }
        if (!isStopped) {
            clock.startTimer(checkIntervalMs, check);
        }
    }
    check();
    return {
        stop: () => {
            isStopped = true;
        },
        owners: () => fencingNumbers.size,
    };
}
