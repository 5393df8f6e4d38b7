import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import { suggestName } from "./suggestName.js";

type Row = Record<string, unknown>;
type Report = (path: string, message: string) => void;

const shareTolerance = 1e-9;

const rowsOf = (json: Row, list: string): Row[] => {
    const rows = json[list];
    return Array.isArray(rows) ? rows.map(row => (row instanceof Object ? row as Row : {})) : [];
};

const namesOf = (rows: Row[], key: string): string[] =>
    rows.map(row => row[key]).filter(name => typeof name === "string");

function checkUnique(rows: Row[], list: string, key: string, report: Report): void {
    const firstAt = new Map<string, number>();
    rows.forEach((row, at) => {
        const name = row[key];
        if (typeof name !== "string") {
            return;
        }
        const first = firstAt.get(name);
        if (first === undefined) {
            firstAt.set(name, at);
        }
        else {
            report(`${list}[${at}].${key}`, `"${name}" stands already at ${list}[${first}].`);
        }
    });
}

function checkKnown(rows: Row[], list: string, key: string, valid: string[], report: Report): void {
    rows.forEach((row, at) => {
        const name = row[key];
        if (typeof name === "string" && !valid.includes(name)) {
            report(`${list}[${at}].${key}`, `There is no ${key} "${name}".${suggestName(name, valid)}`);
        }
    });
}

function checkShares(teams: Row[], report: Report): void {
    const shares = teams.map(row => row["share"]).filter(share => typeof share === "number");
    const sum = shares.reduce((total, share) => total + share, 0);
    if (sum > 1 + shareTolerance) {
        report("teams", `The shares add up to ${Number(sum.toFixed(6))}; at most 1 can be given away.`);
    }
}

function checkTokens(teams: Row[], report: Report): void {
    const firstTeams = new Map<unknown, number>();
    teams.forEach((row, at) => {
        const digests = Array.isArray(row["tokenDigests"]) ? row["tokenDigests"] as unknown[] : [];
        digests.forEach((digest, index) => {
            const first = firstTeams.get(digest);
            if (first !== undefined) {
                report(
                    `teams[${at}].tokenDigests[${index}]`,
                    `This token is given to teams[${first}] already.`,
                );
            }
            firstTeams.set(digest, first ?? at);
        });
    });
}

function checkJobs(jobs: Row[], services: Row[], report: Report): void {
    const kinds = new Map(services.map(row => [row["service"], row["kind"]]));
    jobs.forEach((row, at) => {
        if (kinds.get(row["service"]) === "plain") {
            report(
                `jobs[${at}].service`,
                `"${String(row["service"])}" is a plain service; jobs need kind "rollout".`,
            );
        }
        const { groupSize, samplesPerStep } = row;
        if (
            typeof groupSize === "number" && typeof samplesPerStep === "number"
            && samplesPerStep % groupSize !== 0
        ) {
            report(
                `jobs[${at}].samplesPerStep`,
                `${samplesPerStep} is not a multiple of groupSize ${groupSize}.`,
            );
        }
    });
}

function checkRepeatable(services: Row[], report: Report): void {
    services.forEach((row, at) => {
        const repeatable = row["repeatable"];
        if (row["kind"] === "rollout" && Array.isArray(repeatable) && repeatable.length > 0) {
            report(
                `services[${at}].repeatable`,
                "Only plain services list repeatable calls; generations always are.",
            );
        }
    });
}

/**
 * Finds faults across the parts of a manifest: duplicate names, references to unknown names, shares that add up to more
 * than 1, and steps whose samples do not divide into whole groups. Accepts unvalidated JSON, so that these faults are
 * reported together with those of the schema.
 */
export function checkReferences(json: unknown): ConfigFault[] {
    if (!(json instanceof Object)) {
        return [];
    }
    const faults: ConfigFault[] = [];
    const report: Report = (path, message) => void faults.push({ path, message });
    const [teams, services, samplers, jobs] = ["teams", "services", "samplers", "jobs"]
        .map(list => rowsOf(json as Row, list)) as [Row[], Row[], Row[], Row[]];
    checkUnique(teams, "teams", "team", report);
    checkUnique(services, "services", "service", report);
    checkUnique(samplers, "samplers", "sampler", report);
    checkUnique(jobs, "jobs", "job", report);
    checkShares(teams, report);
    checkTokens(teams, report);
    checkRepeatable(services, report);
    checkKnown(samplers, "samplers", "service", namesOf(services, "service"), report);
    checkKnown(jobs, "jobs", "team", namesOf(teams, "team"), report);
    checkKnown(jobs, "jobs", "service", namesOf(services, "service"), report);
    checkJobs(jobs, services, report);
    return faults;
}
