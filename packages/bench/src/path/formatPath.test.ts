import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { formatPath } from "./formatPath.js";
import { measureStreams } from "./measureStreams.js";

test("the formatted report contains every figure and the failures by message", () => {
    const latency = { requests: 10, failures: {}, p50Ms: 0.5, p99Ms: 1 };
    const use = { coreShare: 0.25, residentMegabytes: 90.4 };
    const lines = formatPath({
        plainAtRate: {
            requestsPerSecond: 65,
            direct: latency,
            through: { ...latency, p50Ms: 1.5, p99Ms: 3 },
            addedP50Ms: 1,
            addedP99Ms: 2,
        },
        plainFlatOut: {
            connections: 32,
            directPerSecond: 1_000,
            throughPerSecond: 400,
            throughputRatio: 0.4,
            failures: { "status 503": 2 },
        },
        streamed: {
            streams: 600,
            directTokensPerSecond: 30_000,
            throughTokensPerSecond: 29_000,
            tokenRatio: 0.967,
            failures: {},
        },
        processes: { entry: { idle: use, atRate: use, flatOut: use, streamed: use } },
    });
    expect(lines.join("\n")).toMatchInlineSnapshot(`
      "at 65 requests/s: direct p50 0.500 ms p99 1.000 ms; through p50 1.500 ms p99 3.000 ms; added p50 1.000 ms p99 2.000 ms; failed 0
      flat out: direct 1000.000 /s, through 400.000 /s, ratio 0.400; failed 2: {"status 503":2}
      streamed tokens/s over 600 streams: direct 30000.000, through 29000.000, ratio 0.967; failed 0
      entry: idle 0.250 core 90 MB, atRate 0.250 core 90 MB, flatOut 0.250 core 90 MB, streamed 0.250 core 90 MB"
    `);
});

test("tokens are counted correctly when a count is split over two chunks", async () => {
    const event = `data: {"usage":{"completion_tokens":125}}\n\n`;
    const server = createServer((_, response) => {
        response.write(event.slice(0, event.indexOf("125") + 2));
        setImmediate(() => response.end(`${event.slice(event.indexOf("125") + 2)}${event}data: [DONE]\n\n`));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const url = new URL(`http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/completions`);
    let nowMs = 0;
    const clock = { ...createSystemClock(), monotonicMs: () => nowMs++ * 1_000 };
    const measured = await measureStreams({
        clock,
        token: "t",
        urls: [url],
        streams: 1,
        tokensPerStream: 250,
    });
    server.close();
    // The clock advances one second per reading: one reading is at the first byte, one at the end.
    expect(measured).toEqual({ perSecond: 250, failures: {} });
});
