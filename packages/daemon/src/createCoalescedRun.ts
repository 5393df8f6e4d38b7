/**
 * Returns a function that starts `run`, one run at a time. Calls during a run share one run that starts after it, with
 * the argument of the first of them, so that each call is followed by a whole run.
 */
export function createCoalescedRun<T>(run: (argument: T) => Promise<void>): (argument: T) => Promise<void> {
    let current: Promise<void> | undefined;
    let next: Promise<void> | undefined;

    function request(argument: T): Promise<void> {
        if (current === undefined) {
            current = run(argument).finally(() => {
                current = undefined;
            });
            return current;
        }
        const startNext = (): Promise<void> => {
            next = undefined;
            return request(argument);
        };
        next ??= current.then(startNext, startNext);
        return next;
    }

    return request;
}
