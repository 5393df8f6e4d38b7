import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FakeClock } from "@auburnarch/clock/FakeClock";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import { createLogger } from "@auburnarch/log/createLogger";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface TestBench {
    clock: FakeClock;
    store: ObjectStore;
    control: FakeStoreControl;
    logger: Logger;
    lines: string[];
    /** Lets fake time pass until a promise has settled, then gives its value or rejects as it did. */
    settle<T>(ended: Promise<T>): Promise<T>;
}

const limitMs = 120_000;
const seed = 5;

/** A fake clock with a small object API and a log beside it. */
export function createTestBench(): TestBench {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(seed), latencyMs: 2 });
    const lines: string[] = [];
    return {
        clock,
        store,
        control,
        logger: createLogger(clock, line => lines.push(line.replace(/^time=\S+ /u, ""))),
        lines,
        settle: async ended => {
            let done = false;
            void ended.catch(() => undefined).finally(() => {
                done = true;
            });
            await clock.runUntil(() => done, limitMs);
            return ended;
        },
    };
}
