import { defineCommand } from "citty";
import { writeFileSync } from "node:fs";
import type { DecideResult } from "./DecideResult.js";
import { measureDecision } from "./measureDecision.js";

const candidateSizes = [8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_100];
const inFlightPerCandidate = [0, 16];
const jsonIndent = 2;

const toLine = (result: DecideResult): string =>
    [
        String(result.candidates).padStart(10),
        String(result.inFlight).padStart(10),
        result.decisionUs.toFixed(2).padStart(14),
        result.decisionBytes.toFixed(0).padStart(14),
        result.candidatesUs.toFixed(2).padStart(16),
        result.candidatesBytes.toFixed(0).padStart(16),
    ].join("");

const head = ["candidates", "in flight", "us a decision", "bytes", "us a listing", "bytes"]
    .map((title, index) => title.padStart([10, 10, 14, 14, 16, 16][index]!))
    .join("");

/** `bench decide`: cost of a placement decision by number of candidates and of attempts in flight. */
export const decideCommand = defineCommand({
    meta: { name: "decide", description: "Cost of one placement decision" },
    args: { json: { type: "string", description: "File for the figures" } },
    run: ({ args }) => {
        process.stdout.write(`${head}\n`);
        const results: DecideResult[] = [];
        for (const candidates of candidateSizes) {
            for (const per of inFlightPerCandidate) {
                const result = measureDecision(candidates, candidates * per);
                results.push(result);
                process.stdout.write(`${toLine(result)}\n`);
            }
        }
        if (args.json !== undefined) {
            writeFileSync(args.json, `${JSON.stringify(results, undefined, jsonIndent)}\n`);
        }
    },
});
