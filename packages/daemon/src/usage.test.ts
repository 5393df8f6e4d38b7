import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { serveFakeUsageReports } from "@auburnarch/platform/testing/serveFakeUsageReports";
import { expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const windowMs = 1_000;
const key = "key-of-hule";

const config = encodeTestConfiguration({
    version: 3,
    models: [],
    extraRoutes: [],
    openRoutes: ["open"],
    tenants: [{ "name": "hule", "api-keys": [key] }],
});

test("started requests of teams are reported once per window by one holder despite rejected reports", async () => {
    const bed = await createPlatformTestBed();
    const reports = await serveFakeUsageReports();
    bed.store.put("config", "main", config);
    const usage = { address: `127.0.0.1:${reports.port}`, windowS: windowMs / 1_000, dueS: 6 };
    const gateways = [
        await bed.startGatewayAt("front-1", { usage }),
        await bed.startGatewayAt("front-2", { usage }),
    ];
    await bed.startRunnerAt("runner-1", { usage });
    await bed.startRunnerAt("runner-2", { usage });
    const tiles = await bed.addSampler({ id: "t-1", service: "tiles" });
    for (const { readyPort } of gateways) {
        await bed.waitFor(async () =>
            (await bed.call(readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
        );
    }
    await bed.waitFor(() => reports.calls().length > 0 ? true : undefined);
    reports.answerNext([429, 503]);
    for (let index = 0; index < 40; index++) {
        const path = index % 10 === 0 ? "/open/7" : "/tiles/7";
        const headers = { "authorization": `Bearer ${key}`, "auburnarch-request-id": `q-${index}` };
        const anonymous = { "auburnarch-request-id": `q-${index}` };
        const { port } = gateways[index % 2]!;
        await bed.call(port, "POST", path, index % 10 === 0 ? anonymous : headers, "x");
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    const ran = tiles.runs().filter(({ team }) => team === "hule").length;
    const lastWindow = Math.floor(Date.now() / windowMs);
    const accepted = await bed.waitFor(() => {
        const acceptedCalls = reports.calls().filter(call => call.status === 200);
        return acceptedCalls.some(call => call.window > lastWindow) ? acceptedCalls : undefined;
    });
    const windows = accepted.map(call => call.window);
    bed.close();
    reports.close();
    expect(windows).toEqual(windows.map((_, index) => windows[0]! + index));
    expect(accepted.reduce((sum, call) => sum + (call.counts["hule"] ?? 0), 0)).toBe(ran);
    expect(new Set(reports.calls().map(call => `${call.path} ${call.holder} ${call.fencing}`)).size).toBe(1);
    expect(bed.violations).toEqual([]);
});
