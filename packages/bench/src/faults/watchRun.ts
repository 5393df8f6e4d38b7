import type { RunParts } from "./RunParts.js";

const lookEveryMs = 400;
interface RunWatch {
    stop(): void;
    /** Owners that the job has had. */
    owners(): number;
}

/** Looks at every process a few times a second: configuration only goes forward. */
export function watchRun(parts: RunParts): RunWatch {
    const { clock, violations } = parts.world;
    const nodes = [...parts.models.map(model => model.node), ...parts.plains.map(plain => plain.node)];
    const versions = new Map<string, number>();
    const numbers = new Set<number>();
    let isStopped = false;

    /** `run` names one run of a process: after a restart it learns anew. */
    function lookAtConfig(run: string, version: number): void {
        if (version < (versions.get(run) ?? 0)) {
            violations.add("configReverted", `${run}: ${versions.get(run)} to ${version}`);
        }
        versions.set(run, version);
    }

    function look(): void {
        for (const node of nodes) {
            const report = node.gate()?.report();
            if (report !== undefined) {
                lookAtConfig(report.incarnation, report.configVersion);
            }
        }
        for (const entry of parts.entries) {
            const fencing = entry.ownedFencing();
            if (fencing !== undefined) {
                numbers.add(fencing);
            }
            parts.world.storeReachableForMs(entry.name);
        }
        if (!isStopped) {
            clock.startTimer(lookEveryMs, look);
        }
    }
    look();
    return {
        stop: () => {
            isStopped = true;
        },
        owners: () => numbers.size,
    };
}
