import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { CommitResult } from "./CommitResult.js";
import { defaultLedgerGuards } from "./defaultLedgerGuards.js";
import type { LedgerGuards } from "./LedgerGuards.js";
import type { StepLedger } from "./StepLedger.js";

/** Creates the ledger of a step with `groups` groups of `groupSize` samples each. */
export function createStepLedger(
    groups: number,
    groupSize: number,
    guards: LedgerGuards = defaultLedgerGuards,
): StepLedger {
    const slots: (Sample | undefined)[][] = Array.from(
        { length: groups },
        () => new Array<Sample | undefined>(groupSize).fill(undefined),
    );
    let size = 0;

    const slotsOf = (group: number): (Sample | undefined)[] => slots[group] ?? [];

    const present = (group: number): Sample[] =>
        slotsOf(group).filter((sample): sample is Sample => sample !== undefined);

    function wholeGroup(group: number): SampleGroup | undefined {
        const candidate: SampleGroup = { group, samples: present(group) };
        return guards.isWholeGroup(candidate, groupSize) ? candidate : undefined;
    }

    function commit(sample: Sample): CommitResult {
        const row = slotsOf(sample.group);
        // A retried or hedged sample may have two finished attempts; the second must not replace an offered one.
        if (sample.index >= row.length || row[sample.index] !== undefined) {
            return "late";
        }
        row[sample.index] = sample;
        size++;
        return wholeGroup(sample.group) === undefined ? "counted" : "groupWhole";
    }

    function reopen(group: number, indexes: readonly number[]): void {
        const row = slotsOf(group);
        for (const index of indexes) {
            size -= row[index] === undefined ? 0 : 1;
            row[index] = undefined;
        }
    }

    return {
        commit,
        wholeGroup,
        missing: group => slotsOf(group).flatMap((sample, index) => sample === undefined ? [index] : []),
        present,
        reopen,
        size: () => size,
    };
}
