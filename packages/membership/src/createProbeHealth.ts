/** Whether this process's own probes mostly fail. */
interface ProbeHealth {
    note(answered: boolean): void;
    isPoor(): boolean;
}

const keptOutcomes = 8;
const poorFailures = 6;

/**
 * Makes the memory of a process's last probes. Where nearly all fail, the fault is most likely on this side (cut
 * off, overloaded, paused); it then accuses nobody.
 */
export function createProbeHealth(): ProbeHealth {
    const outcomes: boolean[] = [];
    return {
        note: answered => {
            outcomes.push(answered);
            if (outcomes.length > keptOutcomes) {
                outcomes.shift();
            }
        },
        isPoor: () => outcomes.filter(answered => !answered).length >= poorFailures,
    };
}
