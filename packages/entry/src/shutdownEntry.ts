import type { Membership } from "@auburnarch/membership/Membership";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { JobOwnership } from "./JobOwnership.js";
import type { trackCalls } from "./trackCalls.js";
import type { UsageCollector } from "./UsageCollector.js";

const pollMs = 20;

interface ShutdownParts {
    calls: ReturnType<typeof trackCalls>;
    membership: Membership;
    jobs: JobOwnership;
    admission: { release(): Promise<void>; };
    usage: UsageCollector;
    components: { stop(): void; }[];
    clock: Clock;
    logger: Logger;
}

/**
 * Shuts an entry down: refuses new calls, announces to peers that it is leaving, lets owners write checkpoints and
 * release their leases, answers calls in flight until the deadline and stores the collected usage.
 */
export async function shutdownEntry(entry: ShutdownParts, deadlineMs: number): Promise<void> {
    const { calls, clock, logger } = entry;
    const endAtMs = clock.monotonicMs() + deadlineMs;
    calls.close();
    entry.membership.beginLeaving();
    logger.info("shutdownBegun", { running: calls.running(), deadlineMs });
    await entry.jobs.release();
    while (calls.running() > 0 && clock.monotonicMs() < endAtMs) {
        await clock.sleep(pollMs);
    }
    await entry.usage.collect();
    await entry.usage.flush().catch(error => logger.warn("usageNotKept", { fault: String(error) }));
    await entry.admission.release();
    entry.components.forEach(part => part.stop());
    logger.info("shutdownEnded", { cutOff: calls.running() });
}
