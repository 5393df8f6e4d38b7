import { createRandom } from "@auburnarch/clock/createRandom";
import { expect, test } from "vitest";
import { shareSamplers } from "./shareSamplers.js";

const samplers = 8;
const slotsPerSampler = 6;
const eventMs = 40;
const stepEveryMs = 4_000;
const dueMs = 7_500;
const trainMs = 1_000;
const neededRatio = 0.9;
const steps = 12;
/** All samplers stop once, as in a power loss. */
const stopAtMs = 14_000;
const stopMs = 3_000;

interface Trainer {
    items: number;
    meanEvents: number;
}

const heavy: Trainer = { items: 144, meanEvents: 22 };
const light: Trainer = { items: 80, meanEvents: 12 };

/** Simulates a trainer; returns how late its last step was requested and how many steps ended in time. */
function simulateTrainer({ items, meanEvents }: Trainer, slots: number) {
    const random = createRandom(items);
    const freeAtMs = Array.from({ length: slots }, () => 0);
    const endedAtMs: number[] = [];
    const tookMs: number[] = [];
    let lateMs = 0;
    for (let step = 0; step < steps; step++) {
        const readyMs = step < 2 ? 0 : endedAtMs[step - 2]! + trainMs;
        const askedAtMs = Math.max(step * stepEveryMs, readyMs);
        lateMs = askedAtMs - step * stepEveryMs;
        const lengths = Array.from({ length: items }, () => -Math.log(1 - random.nextUnit()) * meanEvents)
            .sort((a, b) => b - a);
        const ends = lengths.map(events => {
            const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
            const startMs = Math.max(askedAtMs, freeAtMs[slot]!);
            const endMs = startMs + events * eventMs;
            const isStopped = startMs < stopAtMs + stopMs && endMs > stopAtMs;
            freeAtMs[slot] = endMs + (isStopped ? stopMs : 0);
            return freeAtMs[slot]!;
        }).sort((a, b) => a - b);
        endedAtMs.push(ends[Math.floor(neededRatio * items)]!);
        tookMs.push(endedAtMs.at(-1)! - askedAtMs);
    }
    return { lateMs: Math.round(lateMs), inTime: tookMs.filter(ms => ms <= dueMs).length };
}

/** Policies that share a sampler share its slots. */
function simulateShares(shares: number[]) {
    const totalShares = shares.reduce((sum, share) => sum + share, 0);
    const slotsOf = (share: number): number => Math.floor(samplers * slotsPerSampler * share / totalShares);
    return {
        heavy: simulateTrainer(heavy, slotsOf(shares[0]!)),
        light: simulateTrainer(light, slotsOf(shares[1]!)),
    };
}

test("a trainer with three times the work gets its steps in time, and the other trainer loses none", () => {
    const work = [heavy, light].map(({ items, meanEvents }) => items * meanEvents);
    expect({
        before: simulateShares(shareSamplers(samplers, [undefined, undefined])),
        after: simulateShares(shareSamplers(samplers, work)),
    }).toMatchInlineSnapshot(`
      {
        "after": {
          "heavy": {
            "inTime": 12,
            "lateMs": 0,
          },
          "light": {
            "inTime": 12,
            "lateMs": 0,
          },
        },
        "before": {
          "heavy": {
            "inTime": 2,
            "lateMs": 13603,
          },
          "light": {
            "inTime": 12,
            "lateMs": 0,
          },
        },
      }
    `);
});
