import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { createUsageDeps } from "./createUsageDeps.js";
import type { RoleContext } from "./RoleContext.js";

const received: string[] = [];
const receivers: Server[] = [];

async function startReceiver(name: string): Promise<string> {
    const server = createServer((message, response) => {
        received.push(name);
        message.resume();
        response.end("{}");
    });
    receivers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

let addressAtStart: string;
let newAddress: string;

beforeAll(async () => {
    addressAtStart = await startReceiver("at the start");
    newAddress = await startReceiver("new");
});

afterAll(() => {
    for (const server of receivers) {
        server.close();
        server.closeAllConnections();
    }
});

test("usage settings that are removed leave the reports at the address in use", async () => {
    // Guards against reports sent to an address that the receiver has left.
    const settingsAt = (address: string) => ({ usage: { address, windowS: 10, dueS: 6 } }) as RoleSettings;
    let current = settingsAt(addressAtStart);
    const context = { settings: current, currentSettings: () => current, clock: createSystemClock() };
    const { send } = createUsageDeps(context as RoleContext, {} as StartCountRegistry)!;
    const [report, sender] = [{ window: 1, counts: [] }, { holder: "storage-1", fencing: 1 }];
    for (const next of [settingsAt(newAddress), {} as RoleSettings]) {
        current = next;
        await send(report as never, sender as never).catch(() => undefined);
    }
    expect(received).toEqual(["new", "new"]);
});
