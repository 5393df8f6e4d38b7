/** Exit codes of `auburnarch`; docs/cli.md lists them. */
export const exitCodes = {
    done: 0,
    unexpected: 1,
    wrongUsage: 2,
    faults: 3,
    raced: 4,
    unreachable: 5,
    refused: 6,
    timedOut: 7,
} as const;
