#!/usr/bin/env node

/**
 * Entry of the program. A change of the settings may be signalled at any moment, also while a process that has just
 * started loads its code; without a handler that signal ends it. So nothing else is loaded before there is one. Once
 * the settings are read, `runRole` reloads them at the signal.
 */
process.on("SIGHUP", () => undefined);
await import("./runRoleProgram.js");
