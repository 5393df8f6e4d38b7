import { defineConfig } from "vitest/config";

const tests = ["packages/*/src/**/*.test.ts", "platform/src/**/*.test.ts"];
/** Tests that measure the memory of processes run one at a time, after all others. */
const crowdTests = ["packages/daemon/src/*Crowds.test.ts"];

const shared = {
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
};
const limits = { pool: "forks", testTimeout: 180_000, hookTimeout: 60_000 } as const;

export default defineConfig({
    test: {
        projects: [
            {
                ...shared,
                test: { ...limits, name: "tests", include: tests, exclude: crowdTests, maxWorkers: 4 },
            },
            {
                ...shared,
                test: {
                    ...limits,
                    name: "crowds",
                    include: crowdTests,
                    maxWorkers: 1,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
