import type { Clock } from "@auburnarch/types/Clock";

/**
 * The answer of `call`, or undefined if it fails or takes longer than `limitMs`. Otherwise a peer that accepts a
 * message and never answers would block the sender forever.
 */
export function callWithTimeout<T>(
    clock: Clock,
    limitMs: number,
    call: () => Promise<T>,
): Promise<{ answer: T; } | undefined> {
    return new Promise(resolve => {
        const cancel = clock.startTimer(limitMs, () => resolve(undefined));
        const finish = (outcome: { answer: T; } | undefined): void => {
            cancel();
            resolve(outcome);
        };
        call().then(answer => finish({ answer }), () => finish(undefined));
    });
}
