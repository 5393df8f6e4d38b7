import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FakeClock } from "@auburnarch/clock/FakeClock";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import { createLogger } from "@auburnarch/log/createLogger";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";

interface TestContext {
    clock: FakeClock;
    store: ObjectStore;
    control: FakeStoreControl;
    logger: Logger;
    lines: string[];
    /** Advances the fake clock until a promise has settled; resolves or rejects like it. */
    settle<T>(ended: Promise<T>): Promise<T>;
}

const limitMs = 120_000;
const seed = 5;

/** Creates a fake clock, a fake object store and a logger that collects its lines. */
export function createTestContext(): TestContext {
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
