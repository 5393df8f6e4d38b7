import type { FaultGuards } from "../FaultGuards.js";
import { runBystanderScript } from "./runBystanderScript.js";
import { runShutdownScript } from "./runShutdownScript.js";
import { runSuspectsScript } from "./runSuspectsScript.js";
import { runTrialScript } from "./runTrialScript.js";
import { runUninformedScript } from "./runUninformedScript.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

/** Executes all scripted runs, which precede the random runs of a series, and returns the violations found. */
export async function runScripts(guards: FaultGuards): Promise<ScriptedViolation[]> {
    const found = [
        await runSuspectsScript(guards),
        await runTrialScript(guards),
        await runShutdownScript(guards),
        await runUninformedScript(guards),
        runBystanderScript(guards),
    ];
    return found.filter(each => each !== undefined);
}
