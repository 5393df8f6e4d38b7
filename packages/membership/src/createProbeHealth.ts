/** Tracks whether most of this process's own probes fail. */
interface ProbeHealth {
    record(answered: boolean): void;
    isPoor(): boolean;
}

const maxOutcomes = 8;
const minFailuresForPoor = 6;

/**
 * Creates the record of a process's latest probes. If nearly all of them fail, the fault is most likely on this side
 * (disconnected, overloaded, paused), and the process must not suspect others.
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
