// Entry point of the child processes of the path benchmark. Each runs one role, so that its processor time and memory
// can be measured separately.
import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import type { RoleMessage } from "./RoleMessage.js";
import type { RoleSpec } from "./RoleSpec.js";
import { startDaemon } from "./startDaemon.js";
import { startFakeEngine } from "./startFakeEngine.js";
import { startFakePlainService } from "./startFakePlainService.js";
import { startFakePlatformService } from "./startFakePlatformService.js";

const clock = createSystemClock();
const random = createRandom(process.pid);

function sendMessage(message: RoleMessage): void {
    process.send?.(message);
}

function sendUse(): void {
    const { user, system } = process.cpuUsage();
    sendMessage({
        kind: "use",
        cpuMs: (user + system) / 1_000,
        atMs: clock.monotonicMs(),
        residentBytes: process.memoryUsage.rss(),
    });
}

const spec = JSON.parse(process.argv[2] ?? "{}") as RoleSpec;

function start(): Promise<number> {
    switch (spec.role) {
        case "standIn":
            return startFakePlainService(clock);
        case "engineStandIn":
            return startFakeEngine(clock, random);
        case "daemon":
            return startDaemon(spec.settings, clock, random);
        default:
            return startFakePlatformService(spec.role, clock, random);
    }
}

const port = await start();
process.on("message", sendUse);
process.on("disconnect", () => process.exit(0));
sendMessage({ kind: "listening", address: `http://127.0.0.1:${port}` });
