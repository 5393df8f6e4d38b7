import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { TrainerReport } from "./TrainerReport.js";

interface GroupCheckerDeps {
    groupSize: number;
    maxStalenessVersions: number;
    report: TrainerReport;
    /** The latest published version. */
    publishedVersion: () => number;
    /** Milliseconds since a newer version superseded this one; 0 if none has. */
    replacedForMs: (version: number) => number;
    /** Whether a sample's text is the one expected for its prompt. */
    isExpectedText: (prompt: string, text: string) => boolean;
}

interface GroupChecker {
    checkGroups(spec: StepSpec, page: GroupsPage): void;
    /** Counts the samples of a finished step that were never delivered. */
    recordMissing(spec: StepSpec): void;
    isStale(group: SampleGroup): boolean;
}

const oldestVersion = (sample: Sample): number => Math.min(...sample.spans.map(span => span.version));

/** Creates a trainer's check of every group it receives, which covers all guarantees given to trainers. */
export function createGroupChecker(deps: GroupCheckerDeps): GroupChecker {
    const { report } = deps;
    const seenSamples = new Set<string>();
    const seenGroups = new Set<string>();

    const stalenessOf = (sample: Sample): number => deps.publishedVersion() - oldestVersion(sample);

    function isComplete(group: SampleGroup, prompt: string): boolean {
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
        if (prompt === undefined || !isComplete(group, prompt)) {
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
