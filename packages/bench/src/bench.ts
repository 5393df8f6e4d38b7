#!/usr/bin/env node
import { defineCommand, runMain } from "citty";

await runMain(defineCommand({
    meta: { name: "bench", description: "Measurements and randomised runs; each ends by itself" },
    subCommands: {
        path: () => import("./path/pathCommand.js").then(module => module.pathCommand),
        policy: () => import("./policy/policyCommand.js").then(module => module.policyCommand),
        decide: () => import("./decide/decideCommand.js").then(module => module.decideCommand),
        faults: () => import("./faults/faultsCommand.js").then(module => module.faultsCommand),
        slopes: () => import("./slopes/slopesCommand.js").then(module => module.slopesCommand),
    },
}));
