import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import { runWithFaults } from "./runWithFaults.js";

// Symptom: a step never ends, or a prompt that kills nothing is refused everywhere when a trainer asks for it again.
// Sequence: samples of the prompt are in flight at deaths on two or three VMs: of a killing content beside them, of
// engines that crash by themselves, of sidecars that are killed. The prompt is refused.
// Cause: what speaks for a content was used only as long as it was not refused, and a refused one got no other chance.
// Lines that showed it: seed 1000131, `event=contentQuarantined digest=23375a… vms=2` at 7.500 s and
// `event=suspectFinishedCleanly digest=23375a… isRefused=true` at 7.570 s, with no release behind it; seed 1000890,
// three `event=deathNoted` with the digest, each `contents=2`, and `code=2007` every 30 s from 14.9 s to the end.
const kinds: FaultKind[] = ["engineCrash", "poisonRequest", "sidecarKill", "engineOtherWeights"];

test.each([3000002, 3000014, 3000021, 3000027, 3000043, 3000051, 3000054, 9000226, 9100270])(
    "deaths of seed %i leave no innocent content refused",
    async seed => {
        const run = await runWithFaults(seed, defaultFaultGuards, { only: kinds });
        expect(run.violations).toEqual([]);
    },
);
