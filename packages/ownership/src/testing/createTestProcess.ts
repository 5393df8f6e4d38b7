import { createSleep } from "@auburnarch/clock/createSleep";
import type { Clock } from "@auburnarch/types/Clock";
import type { TestProcess } from "./TestProcess.js";

type AnyFunction = (...args: unknown[]) => unknown;

const neverSettles = new Promise<never>(() => undefined);

/** Creates a running process. */
export function createTestProcess(sharedClock: Clock): TestProcess {
    const killed = new AbortController();
    let resumed: Promise<void> | undefined;
    let resolveResumed = (): void => undefined;
    let deferred: (() => void)[] = [];

    function runInProcess(run: () => void): void {
        if (killed.signal.aborted) {
            return;
        }
        if (resumed === undefined) {
            run();
        }
        else {
            deferred.push(run);
        }
    }

    function startTimer(delayMs: number, run: () => void): () => void {
        let isCancelled = false;
        const cancel = sharedClock.startTimer(delayMs, () =>
            runInProcess(() => {
                if (!isCancelled) {
                    run();
                }
            }));
        return () => {
            isCancelled = true;
            cancel();
        };
    }

    /** Resolves at once while the process is running, on resume while it is paused, and never once it is killed. */
    async function waitUntilRunning(): Promise<void> {
        if (resumed !== undefined) {
            await resumed;
        }
        if (killed.signal.aborted) {
            await neverSettles;
        }
    }

    /** Callbacks run inside this process; a signal is also aborted when this process is killed. */
    function wrapArgument(argument: unknown): unknown {
        if (typeof argument === "function") {
            return (...args: unknown[]) => runInProcess(() => void (argument as AnyFunction)(...args));
        }
        return argument instanceof AbortSignal ? AbortSignal.any([argument, killed.signal]) : argument;
    }

    async function callOut(
        call: AnyFunction,
        name: string,
        args: unknown[],
        hooks: Parameters<TestProcess["connect"]>[1],
    ): Promise<unknown> {
        hooks?.beforeCall?.(name);
        await waitUntilRunning();
        try {
            const answer = await call(...args.map(wrapArgument));
            hooks?.afterCall?.(name);
            await waitUntilRunning();
            return answer;
        }
        catch (error) {
            await waitUntilRunning();
            throw error;
        }
    }

    const connect: TestProcess["connect"] = (port, hooks) => {
        if (typeof port === "function") {
            const call = port as unknown as AnyFunction;
            return ((...args: unknown[]) => callOut(call, call.name, args, hooks)) as unknown as typeof port;
        }
        const entries = Object.entries(port).map(([name, member]) => {
            const isCall = typeof member === "function";
            return [name, isCall ? (...args: unknown[]) => callOut(member, name, args, hooks) : member];
        });
        return Object.fromEntries(entries) as typeof port;
    };

    return {
        clock: {
            monotonicMs: sharedClock.monotonicMs,
            wallMs: sharedClock.wallMs,
            startTimer,
            sleep: createSleep(startTimer),
        },
        connect,
        enter: async call => {
            await waitUntilRunning();
            try {
                const answer = await call();
                await waitUntilRunning();
                return answer;
            }
            catch (error) {
                await waitUntilRunning();
                throw error;
            }
        },
        kill: () => killed.abort(),
        pause: () => {
            resumed ??= new Promise(resolve => {
                resolveResumed = resolve;
            });
        },
        resume: () => {
            resumed = undefined;
            resolveResumed();
            const waiting = deferred;
            deferred = [];
            waiting.forEach(runInProcess);
        },
        isAlive: () => !killed.signal.aborted,
        isPaused: () => resumed !== undefined,
    };
}
