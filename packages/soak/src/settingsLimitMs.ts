/** Beside load, a running program uses what its settings file names this long after a change or its start. */
export const settingsLimitMs = 5_000;
