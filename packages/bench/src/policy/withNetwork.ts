import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/**
 * Wraps a sidecar port with a simulated network: calls and answers take `delayMs`, and none pass while the VM is
 * frozen.
 */
export function withNetwork(
    port: SidecarPort,
    clock: Clock,
    delayMs: number,
    frozenUntilMs: () => number,
): SidecarPort {
    const cross = async (): Promise<void> => {
        await clock.sleep(delayMs);
        const leftMs = frozenUntilMs() - clock.monotonicMs();
        if (leftMs > 0) {
            await clock.sleep(leftMs);
        }
    };
    return {
        ...port,
        runSample: async (attempt, onSpan, signal) => {
            await cross();
            if (signal.aborted) {
                return { kind: "notRun", code: resultCodes.cancelled, retryAfterMs: undefined };
            }
            const outcome = await port.runSample(attempt, span => {
                if (frozenUntilMs() <= clock.monotonicMs()) {
                    onSpan(span);
                }
            }, signal);
            await cross();
            return outcome;
        },
        callPlain: async (request, signal) => {
            await cross();
            return port.callPlain(request, signal);
        },
        order: async order => {
            await cross();
            const result = await port.order(order);
            await cross();
            return result;
        },
    };
}
