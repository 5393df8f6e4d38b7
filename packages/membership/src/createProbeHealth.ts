/** Whether this process's own probes mostly fail. */
interface ProbeHealth {
    record(answered: boolean): void;
    isPoor(): boolean;
}

const maxOutcomes = 8;
const minFailuresForPoor = 6;

/**
 * Makes the memory of a process's last probes. Where nearly all fail, the fault is most likely on this side (cut
 * off, overloaded, paused); it then accuses nobody.
 */
export function createProbeHealth(): ProbeHealth {
    const outcomes: boolean[] = [];
    return {
        record: answered => {
            outcomes.push(answered);
            if (outcomes.length > maxOutcomes) {
                outcomes.shift();
            }
        },
        isPoor: () => outcomes.filter(answered => !answered).length >= minFailuresForPoor,
    };
}
