import { expect, test } from "vitest";
import { defaultFaultGuards } from "./defaultFaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import { runWithFaults } from "./runWithFaults.js";

const kinds: FaultKind[] = ["engineCrash", "poisonRequest", "sidecarKill", "engineOtherWeights"];

// Guards against a request that is quarantined for crashes that it did not cause.
test.each([3000002, 3000014, 3000021, 3000027, 3000043, 3000051, 3000054, 9000226, 9100270])(
    "the crashes of seed %i leave no innocent request refused",
    async seed => {
        const run = await runWithFaults(seed, defaultFaultGuards, { only: kinds });
        expect(run.violations).toEqual([]);
    },
);
