import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { expect, test } from "vitest";
import { createAbsenceNote } from "./createAbsenceNote.js";
import { feedSchemas } from "./feedSchemas.js";

const grace = 2_500;

function createFixture() {
    const clock = createFakeClock();
    const own = { lostAtMs: undefined as number | undefined, regainedAtMs: -Infinity };
    const note = createAbsenceNote({
        storeSilentMs: () => own.lostAtMs === undefined ? 0 : clock.monotonicMs() - own.lostAtMs,
        storeRegainedMs: () => clock.monotonicMs() - own.regainedAtMs,
        clock,
    });
    const lose = (): void => {
        own.lostAtMs = clock.monotonicMs();
    };
    const regain = (): void => {
        own.lostAtMs = undefined;
        own.regainedAtMs = clock.monotonicMs();
    };
    return { clock, note, lose, regain };
}

test("what this process lost alone is no absence", async () => {
    const { clock, note, lose, regain } = createFixture();
    lose();
    await clock.advance(10_000);
    regain();
    expect(note.awayMs()).toBe(Infinity);
});

test("an absence that a runner told of lasts until this process has the store again", async () => {
    const { clock, note, lose, regain } = createFixture();
    lose();
    note.noteAway(0);
    await clock.advance(10_000);
    regain();
    await clock.advance(300);
    const soonMs = note.awayMs();
    await clock.advance(grace);
    expect([soonMs >= 300, soonMs <= 500, note.awayMs() > grace]).toEqual([true, true, true]);
});

test("a runner that had the store all the while is believed, one that lost it is not where this process has it", async () => {
    const { clock, note, lose, regain } = createFixture();
    lose();
    note.noteAway(0);
    await clock.advance(5_000);
    regain();
    note.noteThere();
    const toldThereMs = note.awayMs();
    await clock.advance(4_000);
    note.noteAway(0);
    expect([toldThereMs, note.awayMs()]).toEqual([Infinity, 4_000]);
});

test("the word on the store crosses between processes, and is missing from those of an earlier version", () => {
    const listed = { kind: "listed" as const, objects: [], revision: 7, storeAwayMs: 40 };
    const { storeAwayMs: _unsaid, ...earlier } = listed;
    expect([
        feedSchemas.answer.parse(listed),
        feedSchemas.answer.parse({ kind: "unsure", storeAwayMs: 0 }),
        feedSchemas.answer.parse(earlier),
    ]).toEqual([listed, { kind: "unsure", storeAwayMs: 0 }, earlier]);
});
