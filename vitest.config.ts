import { defineConfig } from "vitest/config";

export default defineConfig({
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
    test: {
        include: ["packages/*/src/**/*.test.ts", "platform/src/**/*.test.ts"],
        pool: "forks",
        maxWorkers: 4,
        testTimeout: 180_000,
        hookTimeout: 60_000,
    },
});
