import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import { faultKinds } from "./faultKinds.js";
import { removeGuard } from "./removeGuard.js";
import type { SeriesOptions } from "./SeriesOptions.js";

/** The options of the command `faults` as given on the command line. */
interface FaultArgs {
    seed: string;
    runs: string;
    run?: string;
    kinds?: string;
    killers: string;
    without?: string;
}

/** Parses an integer of at least `min`; undefined if the text is none. */
function parseCount(text: string, min: number): number | undefined {
    const value = Number(text);
    return Number.isSafeInteger(value) && value >= min ? value : undefined;
}

const isKind = (text: string): text is FaultKind => (faultKinds as readonly string[]).includes(text);

/** Parses the options of a series; returns a message for the user if they are invalid. */
export function parseFaultOptions(args: FaultArgs): SeriesOptions | string {
    const { run, without } = args;
    const onlyRun = run === undefined ? undefined : parseCount(run, 0);
    if (run !== undefined && onlyRun === undefined) {
        return "--run takes a whole number from 0, as a line event=violation names it.";
    }
    const seed = parseCount(args.seed, 0);
    const runs = onlyRun === undefined ? parseCount(args.runs, 1) : 1;
    const killers = parseCount(args.killers, 1);
    if (seed === undefined || runs === undefined || killers === undefined) {
        return "--seed takes a whole number from 0, --runs and --killers one from 1.";
    }
    const kinds = args.kinds?.split(",");
    const unknown = kinds?.find(kind => !isKind(kind));
    if (unknown !== undefined) {
        return `There is no kind of fault "${unknown}". The kinds: ${faultKinds.join(", ")}.`;
    }
    const guards = without === undefined ? defaultFaultGuards : removeGuard(without);
    if (guards === undefined) {
        return `There is no guard "${without}"; --list-guards names them all.`;
    }
    return {
        seed,
        runs,
        onlyRun,
        kinds: kinds?.filter(isKind),
        killers,
        guards,
        without,
        stopAtFirst: without !== undefined && onlyRun === undefined,
    };
}
