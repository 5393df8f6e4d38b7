import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { clientCalls } from "@auburnarch/platform/testing/clientCalls";
import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import { expect, test, vi } from "vitest";
import { createSoakTestBed } from "./createSoakTestBed.js";
import type { Program } from "./Program.js";
import { soakTeam } from "./soakTeam.js";

const clock = createSystemClock();
const rounds = 8;
const callsAtOnce = 5;
const startLimitMs = 60_000;
const ok = 200;

// Guards against a caller that loses more than a connection while a signal repeatedly ends a gateway at its start.
test("a gateway ended by a signal at its start accepts no request and delays none at another gateway", async () => {
    const bed = await createSoakTestBed(clock, {
        gateways: 2,
        runners: 2,
        modelSamplers: 1,
        plainSamplers: 2,
        models: ["plume"],
    });
    const client = createFakeClient(soakTeam.key);
    let sent = 0;
    const send = async (gateway: Program): Promise<string> => {
        const requestId = `request-${sent++}`;
        const reply = await client.call(gateway.clientPort, {
            method: "POST",
            path: "/alerts/x",
            requestId,
            body: "x",
        });
        const hasRun = bed.samplers.some(sampler => sampler.runs().some(run => run.id === requestId));
        const outcome = reply.kind === "answered"
            ? `${reply.status}`
            : reply.detail.split(" ").slice(0, 2).join(" ");
        return `${outcome}, ${hasRun ? "ran" : "not run"}`;
    };
    const sendAll = (gateway: Program): Promise<string[]> =>
        Promise.all(Array.from({ length: callsAtOnce }, () => send(gateway)));
    const isReady = async (gateway: Program): Promise<boolean> => {
        const reply = await client.call(gateway.readyPort, { ...clientCalls.isReady(), limitMs: 1_000 });
        return reply.kind === "answered" && reply.status === ok;
    };
    const becomesReady = (gateway: Program): Promise<void> =>
        vi.waitUntil(() => isReady(gateway), { timeout: startLimitMs, interval: 100 }).then(() => undefined);
    const [ended, other] = bed.gateways as [Program, Program];
    try {
        await Promise.all(bed.gateways.map(becomesReady));
        await ended.end("SIGKILL");
        const atEnded = new Set<string>();
        const atOther = new Set<string>();
        for (let round = 0; round < rounds; round++) {
            ended.start();
            ended.signal("SIGHUP");
            const [first, second] = await Promise.all([sendAll(ended), sendAll(other)]);
            first.forEach(outcome => atEnded.add(outcome));
            second.forEach(outcome => atOther.add(outcome));
            await vi.waitUntil(() => !ended.isUp(), { timeout: startLimitMs });
        }
        ended.start();
        await becomesReady(ended);
        expect({
            exits: ended.unexpectedExits().map(exit => exit.replace(/\d+ ms/u, "some ms")),
            atEnded: [...atEnded],
            atOther: [...atOther],
            afterwards: await send(ended),
        }).toEqual({
            exits: Array.from(
                { length: rounds },
                () => "front-1: SIGHUP some ms after its start, 0 lines logged",
            ),
            atEnded: ["connect ECONNREFUSED, not run"],
            atOther: ["200, ran"],
            afterwards: "200, ran",
        });
    }
    finally {
        client.close();
        await bed.close();
    }
});
