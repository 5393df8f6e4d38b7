import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { TrainerReport } from "./TrainerReport.js";

interface GroupCheckerDeps {
    groupSize: number;
    maxStalenessVersions: number;
    report: TrainerReport;
    /** The version published last. */
    publishedVersion: () => number;
    /** Milliseconds since the version was replaced by a newer one; 0 if it was not. */
    replacedForMs: (version: number) => number;
    /** Whether a sample's text is what its prompt leads to. */
    isExpectedText: (prompt: string, text: string) => boolean;
}

interface GroupChecker {
    checkGroups(spec: StepSpec, page: GroupsPage): void;
    /** Counts what never came of a finished step. */
    recordMissing(spec: StepSpec): void;
    isStale(group: SampleGroup): boolean;
}

const oldestVersion = (sample: Sample): number => Math.min(...sample.spans.map(span => span.version));

/** A trainer's check of each group it receives, as strict as the promises to it. */
export function createGroupChecker(deps: GroupCheckerDeps): GroupChecker {
    const { report } = deps;
    const seenSamples = new Set<string>();
    const seenGroups = new Set<string>();

    const stalenessOf = (sample: Sample): number => deps.publishedVersion() - oldestVersion(sample);

    function isWhole(group: SampleGroup, prompt: string): boolean {
        const indexes = new Set(group.samples.map(sample => sample.index));
        const hasIndexesInRange = group.samples.every(sample =>
            sample.index >= 0 && sample.index < deps.groupSize
        );
        const hasOwnSamples = group.samples.every(sample => sample.group === group.group);
        const hasExpectedTexts = group.samples.every(sample =>
            sample.spans.length > 0
            && deps.isExpectedText(prompt, sample.spans.map(span => span.text).join(""))
        );
        return group.samples.length === deps.groupSize && indexes.size === deps.groupSize && hasIndexesInRange
            && hasOwnSamples && hasExpectedTexts;
    }

    function checkSample(sample: Sample): void {
        if (seenSamples.has(sample.sample)) {
            report.duplicates++;
            return;
        }
        seenSamples.add(sample.sample);
        const staleness = stalenessOf(sample);
        report.delivered++;
        report.staleViolations += staleness > deps.maxStalenessVersions ? 1 : 0;
        report.stalenessMaxVersions = Math.max(report.stalenessMaxVersions, staleness);
        report.stalenessVersions.push(staleness);
        report.stalenessMs.push(deps.replacedForMs(oldestVersion(sample)));
    }

    function checkGroup(spec: StepSpec, group: SampleGroup): void {
        const key = `${spec.step}/${group.group}`;
        if (seenGroups.has(key)) {
            report.duplicates++;
            return;
        }
        seenGroups.add(key);
        const prompt = spec.prompts[group.group]?.prompt;
        if (prompt === undefined || !isWhole(group, prompt)) {
            report.brokenGroups++;
        }
        group.samples.forEach(checkSample);
    }

    return {
        checkGroups: (spec, page) => page.groups.forEach(group => checkGroup(spec, group)),
        recordMissing: spec => {
            const missingGroups = spec.prompts.filter((_, group) => !seenGroups.has(`${spec.step}/${group}`));
            report.missing += missingGroups.length * deps.groupSize;
        },
        isStale: group => group.samples.some(sample => stalenessOf(sample) > deps.maxStalenessVersions),
    };
}
