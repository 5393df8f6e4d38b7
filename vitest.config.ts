import { defineConfig } from "vitest/config";

export default defineConfig({
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
    test: {
        include: ["packages/*/src/**/*.test.ts"],
        pool: "forks",
        maxWorkers: 4,
        testTimeout: 60_000,
        hookTimeout: 30_000,
    },
});
