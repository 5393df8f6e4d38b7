#!/usr/bin/env node
import { createSystemIo } from "./createSystemIo.js";
import { runCli } from "./runCli.js";

process.exitCode = await runCli(process.argv.slice(2), createSystemIo());
