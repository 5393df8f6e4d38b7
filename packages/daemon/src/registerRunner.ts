import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";

interface RegisterRunnerDeps {
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    key: string;
    address: RunnerAddress;
}

const absent = 0 as ObjectVersion;
const retryMs = 300;

/** Registers the runner's address, with retries; a replacement VM may have the same name and another address. */
export function registerRunner(deps: RegisterRunnerDeps): { stop(): void; } {
    const { store, clock, logger, key, address } = deps;
    const stopped = new AbortController();

    async function attemptRegistration(): Promise<boolean> {
        const current = await store.read(key);
        if (JSON.stringify(current?.value) === JSON.stringify(address)) {
            return true;
        }
        const outcome = await store.write(key, address, current?.version ?? absent);
        return outcome.kind === "written";
    }

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                if (await attemptRegistration()) {
                    logger.info("runnerRegistered", { key, ...address });
                    return;
                }
            }
            catch (error) {
                logger.warn("runnerNotRegistered", { key, name: codeOf(error).name });
            }
            await clock.sleep(retryMs, stopped.signal);
        }
    }

    void run();
    return { stop: () => stopped.abort() };
}
