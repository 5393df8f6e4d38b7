import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const packagesPath = fileURLToPath(new URL("../../", import.meta.url));
const metricsPagePath = fileURLToPath(new URL("../../../docs/metrics.md", import.meta.url));
const metricCallPattern = /metrics\.(?:count|set|observeMs)\(\s*"([a-z0-9_]+)"/gu;
const tableRowPattern = /^\| `auburnarch_([a-z0-9_]+)`/gmu;

async function listSources(): Promise<string[]> {
    const found = await readdir(packagesPath, { recursive: true });
    return found.filter(path => /^[a-z]+\/src\/.*\.ts$/u.test(path) && !path.endsWith(".test.ts"));
}

test("docs/metrics.md lists exactly the metrics that the code uses", async () => {
    const texts = await Promise.all(
        (await listSources()).map(path => readFile(join(packagesPath, path), "utf8")),
    );
    const used = texts.flatMap(text => [...text.matchAll(metricCallPattern)].map(found => found[1]!));
    const listed = [...(await readFile(metricsPagePath, "utf8")).matchAll(tableRowPattern)].map(found =>
        found[1]!
    );
    expect(used.length).toBeGreaterThan(0);
    expect([...new Set(used)].sort()).toEqual([...listed].sort());
});
