import { expect, test } from "vitest";
import { createFakeClock } from "./createFakeClock.js";

test("timers fire in order of time, ties in the order started, and cancelled timers never fire", async () => {
    const clock = createFakeClock();
    const fired: string[] = [];
    clock.startTimer(20, () => fired.push(`b@${clock.monotonicMs()}`));
    clock.startTimer(10, () => fired.push(`a@${clock.monotonicMs()}`));
    clock.startTimer(20, () => fired.push(`c@${clock.monotonicMs()}`));
    const cancel = clock.startTimer(15, () => fired.push("cancelled"));
    cancel();
    await clock.advance(30);
    expect(fired).toMatchInlineSnapshot(`
      [
        "a@10",
        "b@20",
        "c@20",
      ]
    `);
    expect(clock.pendingTimers()).toBe(0);
});

test("a sleep ends at once when its signal is aborted", async () => {
    const clock = createFakeClock();
    const abort = new AbortController();
    let wokeAtMs = -1;
    void clock.sleep(1_000, abort.signal).then(() => {
        wokeAtMs = clock.monotonicMs();
    });
    clock.startTimer(40, () => abort.abort());
    await clock.advance(100);
    expect(wokeAtMs).toBe(40);
});
