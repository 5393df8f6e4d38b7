// Bundles the roles for the platform into target/, or into the folder given as the argument: one file a role loads in
// half the time of many. The entry point is a CommonJS file, because the runtime loads one without its ES module loader
// and so reaches its first statement sooner.
import { build } from "esbuild";

const common = {
    outdir: process.argv[2] ?? "target",
    minify: true,
    platform: "node",
    target: "node20",
    sourcemap: false,
    logLevel: "warning",
};

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
