import type { PromiseChecker } from "./PromiseChecker.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";

/**
 * Checks that samplers receive the clients' team but not its key, that no log line shows the key, and that a usage
 * window is always reported with the same counts.
 */
export function checkTeams(bed: SoakTestBed, checker: PromiseChecker, itemIds: Set<string>): void {
    for (const sampler of bed.samplers) {
        for (const { id, team, credential } of sampler.runs()) {
            const isNamed = team === soakTeam.name || (team === undefined && !itemIds.has(id));
            checker.check(isNamed, "a sampler hears the team of the key", { id, team });
            checker.check(credential === undefined, "a sampler hears no key", { id });
        }
    }

    const reported = new Map<number, string>();
    for (const { window, counts } of bed.usageReports.calls()) {
        const text = JSON.stringify(counts);
        const before = reported.get(window) ?? text;
        reported.set(window, before);
        checker.check(before === text, "a window is reported with the same counts", { window, before, text });
    }

    for (const program of bed.programs) {
        const exposingLines = program.lines().filter(line => line.includes(soakTeam.key));
        checker.check(exposingLines.length === 0, "no log line shows a key", {
            program: program.name,
            lines: exposingLines.length,
        });
    }
}
