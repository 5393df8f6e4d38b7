#!/usr/bin/env node

/**
 * Entry point of the program. A change of the settings may be signalled at any time, also while a new process still
 * loads its code, and the signal ends a process without a handler. Therefore the handler is installed before anything
 * else is loaded. Once the settings are read, `runRole` adds a handler that reloads them. The file has no top-level
 * `await`, so that it can be built as CommonJS too.
 */
process.on("SIGHUP", () => undefined);
void import("./runRoleProgram.js");
