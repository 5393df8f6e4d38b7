import type { Sample } from "@auburnarch/types/Sample";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createStepLedger } from "./createStepLedger.js";
import type { StepLedger } from "./StepLedger.js";

const groups = 3;
const groupSize = 2;

const sampleOf = (group: number, index: number, attempt: number): Sample =>
    ({
        sample: `j/0/${group}/${index}`,
        group,
        index,
        spans: [],
        tokens: 1,
        score: 0,
        sampler: "s",
        engineMs: attempt,
    }) as unknown as Sample;

/** Model of the ledger: a plain map from slot to winning attempt. */
type Model = Map<string, number>;

const slot = (group: number, index: number): string => `${group}/${index}`;
const isWhole = (model: Model, group: number): boolean =>
    Array.from({ length: groupSize }, (_, index) => index).every(index => model.has(slot(group, index)));

const commit = (group: number, index: number, attempt: number): fc.Command<Model, StepLedger> => ({
    check: () => true,
    run: (model, ledger) => {
        const isKnown = group < groups && index < groupSize;
        const isLate = !isKnown || model.has(slot(group, index));
        if (!isLate) {
            model.set(slot(group, index), attempt);
        }
        const expected = isLate ? "late" : isWhole(model, group) ? "groupWhole" : "counted";
        expect(ledger.commit(sampleOf(group, index, attempt))).toBe(expected);
    },
    toString: () => `commit(${group},${index},${attempt})`,
});

const reopen = (group: number, index: number): fc.Command<Model, StepLedger> => ({
    check: () => true,
    run: (model, ledger) => {
        model.delete(slot(group, index));
        ledger.reopen(group, [index]);
    },
    toString: () => `reopen(${group},${index})`,
});

const inspect = (group: number): fc.Command<Model, StepLedger> => ({
    check: () => true,
    run: (model, ledger) => {
        const whole = ledger.wholeGroup(group);
        expect(whole !== undefined).toBe(group < groups && isWhole(model, group));
        expect(whole?.samples.map(sample => sample.engineMs) ?? []).toEqual(
            whole === undefined ? [] : [0, 1].map(index => model.get(slot(group, index))),
        );
        const indexes = group < groups ? [0, 1] : [];
        expect(ledger.missing(group)).toEqual(indexes.filter(index => !model.has(slot(group, index))));
        expect(ledger.size()).toBe(model.size);
    },
    toString: () => `look(${group})`,
});

test("in any order of attempts, the first one counts and only complete groups are visible", () => {
    const group = fc.integer({ min: 0, max: groups });
    const index = fc.integer({ min: 0, max: groupSize - 1 });
    const commands = fc.commands([
        fc.tuple(group, fc.integer({ min: 0, max: groupSize }), fc.nat(1_000)).map(args => commit(...args)),
        fc.tuple(fc.integer({ min: 0, max: groups - 1 }), index).map(args => reopen(...args)),
        group.map(inspect),
    ], { maxCommands: 60 });
    fc.assert(
        fc.property(commands, cmds => {
            fc.modelRun(
                () => ({ model: new Map() as Model, real: createStepLedger(groups, groupSize) }),
                cmds,
            );
        }),
        { seed: 11, numRuns: 500 },
    );
});
