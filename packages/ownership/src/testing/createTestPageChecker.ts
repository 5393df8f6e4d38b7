import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { TestTrainerReport } from "./TestTrainerReport.js";

interface PageCheckerOptions {
    job: string;
    groupSize: number;
    maxStalenessVersions: number;
}

/** Checks pages against what a trainer can verify itself. */
interface TestPageChecker {
    /** `publishedAtRead` is the last version that was acknowledged as published before the read was sent. */
    recordPage(step: number, page: GroupsPage, publishedAtRead: number): void;
    /** One owner's two answers to the same cursor may differ only if the first has exceeded the staleness bound. */
    comparePages(step: number, first: GroupsPage, second: GroupsPage, published: number): void;
}

/** Creates a page checker that records into `report`. */
export function createTestPageChecker(
    options: PageCheckerOptions,
    report: TestTrainerReport,
): TestPageChecker {
    const isStale = (group: SampleGroup, atVersion: number): boolean =>
        group.samples.some(sample =>
            sample.spans.some(span => span.version < atVersion - options.maxStalenessVersions)
        );

    function checkGroup(step: number, group: SampleGroup, publishedAtRead: number): void {
        const key = `${step}/${group.group}`;
        const ids = group.samples.map(sample => sample.sample).join();
        const expected = Array.from(
            { length: options.groupSize },
            (_, index) => `${options.job}/${key}/${index}`,
        );
        if (report.receivedGroups.has(key)) {
            report.problems.push(`deliveredTwice ${key}`);
        }
        if (ids !== expected.join()) {
            report.problems.push(`notWhole ${key}`);
        }
        if (group.samples.some(sample => sample.spans.length === 0)) {
            report.problems.push(`provenanceMissing ${key}`);
        }
        if (isStale(group, publishedAtRead)) {
            report.problems.push(`stale ${key}`);
        }
    }

    return {
        recordPage: (step, page, publishedAtRead) => {
            for (const group of page.groups) {
                checkGroup(step, group, publishedAtRead);
                const engineMs = group.samples.reduce((sum, sample) => sum + sample.engineMs, 0);
                report.receivedGroups.set(`${step}/${group.group}`, {
                    engineMs,
                    samples: group.samples.length,
                });
                report.engineMs += engineMs;
            }
        },
        comparePages: (step, first, second, published) => {
            const isComparable = first.fencing === second.fencing && first.groups.length > 0;
            const isSame = JSON.stringify(first) === JSON.stringify(second);
            if (isComparable && !isSame && !first.groups.some(group => isStale(group, published))) {
                report.problems.push(`otherBytes ${step}`);
            }
        },
    };
}
