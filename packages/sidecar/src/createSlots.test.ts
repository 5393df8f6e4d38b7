import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createLogger } from "@auburnarch/log/createLogger";
import type { TeamId } from "@auburnarch/types/TeamId";
import { expect, test } from "vitest";
import { createSlots } from "./createSlots.js";
import type { SlotGrant } from "./SlotGrant.js";
import type { SlotRequest } from "./SlotRequest.js";

const never = new AbortController().signal;

function createFixture(limit: number, shares: Record<string, number> = {}) {
    const clock = createFakeClock();
    const slots = createSlots({
        clock,
        logger: createLogger(clock, () => {}),
        limit: () => limit,
        share: team => shares[team] ?? 0.5,
        interactiveWaitMs: () => 250,
        mayStart: leftMs => leftMs > 0,
    });
    const request = (overrides: Partial<SlotRequest>): SlotRequest => ({
        team: "a" as TeamId,
        priority: 50,
        costMs: 100,
        budgetMs: 10_000,
        policy: undefined,
        preempt: undefined,
        signal: never,
        ...overrides,
    });
    const acquire = (overrides: Partial<SlotRequest>): { grant: SlotGrant | undefined; } => {
        const pending: { grant: SlotGrant | undefined; } = { grant: undefined };
        void Promise.resolve(slots.acquire(request(overrides))).then(grant => {
            pending.grant = grant;
        });
        return pending;
    };
    return { clock, slots, acquire };
}

test("a rollout delays an interactive request by no more than the interactive wait", async () => {
    // Guards against interactive requests that are late because of rollouts.
    const { clock, acquire } = createFixture(2);
    const preempted: string[] = [];
    const acquireSlot = (name: string, priority: number) => {
        const pending = acquire({
            priority,
            preempt: () => {
                preempted.push(name);
                if (pending.grant?.kind === "granted") {
                    pending.grant.slot.release(100);
                }
            },
        });
        return pending;
    };
    acquireSlot("important", 90);
    await clock.advance(5);
    acquireSlot("newest", 10);
    await clock.advance(1_000);
    const quote = acquire({ priority: 100 });
    await clock.advance(249);
    expect(quote.grant).toBeUndefined();
    await clock.advance(2);
    expect(quote.grant).toMatchObject({ kind: "granted", slot: { waitedMs: 250 } });
    expect(preempted).toEqual(["newest"]);
});

test("work whose budget passes while it waits is refused and never starts", async () => {
    const { clock, slots, acquire } = createFixture(1);
    const first = acquire({});
    await clock.advance(1);
    const late = acquire({ budgetMs: 500 });
    await clock.advance(600);
    expect(late.grant).toMatchObject({ kind: "refused", code: { name: "deadlinePassed" } });
    expect(first.grant?.kind).toBe("granted");
    expect(slots.waiting()).toBe(0);
});

test("two teams with constant demand get engine time by their shares within 5%", async () => {
    const { clock, acquire } = createFixture(4, { a: 0.75, b: 0.25 });
    const usedMs: Record<string, number> = { a: 0, b: 0 };
    const keepBusy = (team: string, lengthMs: number): void => {
        const pending = acquire({ team: team as TeamId, costMs: 50, budgetMs: 1_000_000 });
        void (async () => {
            while (pending.grant === undefined) {
                await clock.sleep(1);
            }
            await clock.sleep(lengthMs);
            usedMs[team]! += lengthMs;
            if (pending.grant.kind === "granted") {
                pending.grant.slot.release(lengthMs);
            }
            if (clock.monotonicMs() < 60_000) {
                keepBusy(team, lengthMs);
            }
        })();
    };
    for (let at = 0; at < 8; at++) {
        keepBusy("a", 30);
        keepBusy("b", 120);
    }
    await clock.advance(60_000);
    expect(Math.abs(usedMs["a"]! / (usedMs["a"]! + usedMs["b"]!) - 0.75)).toBeLessThan(0.05);
});
