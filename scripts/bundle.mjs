// Bundles the roles for the platform into target/, or into the folder given as the argument: one file a role loads in
// half the time of many. The entry point is a CommonJS file, because the runtime loads one without its ES module loader
// and so reaches its first statement sooner.
import { build } from "esbuild";
import { mkdirSync, mkdtempSync, readdirSync, renameSync, rmSync, statSync } from "node:fs";
import { join } from "node:path";

/** Programs with fixed names, each after all files that it loads. The names of the other files contain a hash. */
const programs = ["runRoleProgram.js", "roleMain.cjs"];
/** Processes that started from an earlier build may still load its chunks. */
const maxChunkAgeMs = 3_600_000;
const hashedName = /-[A-Z0-9]{8}\.js$/u;

const target = process.argv[2] ?? "target";
mkdirSync(target, { recursive: true });
// A process may start during a build. It must not find a program that is half written, so all files are written
// elsewhere on the same disk and renamed, the entry point last.
const staging = mkdtempSync(join(target, "building-"));

const common = {
    outdir: staging,
    minify: true,
    platform: "node",
    target: "node20",
    sourcemap: false,
    logLevel: "warning",
};

try {
    await build({
        ...common,
        entryPoints: ["packages/daemon/src/roleMain.ts"],
        format: "cjs",
        outExtension: { ".js": ".cjs" },
    });
    await build({
        ...common,
        entryPoints: ["packages/daemon/src/runRoleProgram.ts"],
        bundle: true,
        splitting: true,
        format: "esm",
        conditions: ["source"],
        banner: {
            js: 'import { createRequire as makeRequire } from "node:module"; const require = makeRequire(import.meta.url);',
        },
    });
    const built = readdirSync(staging).sort((a, b) => programs.indexOf(a) - programs.indexOf(b));
    built.forEach(name => renameSync(join(staging, name), join(target, name)));
    readdirSync(target)
        .filter(name => hashedName.test(name) && !built.includes(name))
        .filter(name => Date.now() - statSync(join(target, name)).mtimeMs > maxChunkAgeMs)
        .forEach(name => rmSync(join(target, name)));
}
finally {
    rmSync(staging, { recursive: true, force: true });
}
