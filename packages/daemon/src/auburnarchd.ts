#!/usr/bin/env node

/**
 * Entry point of the daemon. SIGHUP, also sent when a terminal closes, ends a process without a handler at any moment.
 * Therefore the handler is installed before anything else is loaded.
 */
process.on("SIGHUP", () => undefined);
await import("./runDaemonProgram.js");
