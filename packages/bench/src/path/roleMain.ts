// Entry point of the child processes of the path bench: one role each, so that processor time and memory are its own.
import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import type { RoleMessage } from "./RoleMessage.js";
import type { RoleSpec } from "./RoleSpec.js";
import { startDaemon } from "./startDaemon.js";
import { startEngineStandIn } from "./startEngineStandIn.js";
import { startPlatform } from "./startPlatform.js";
import { startStandIn } from "./startStandIn.js";

const clock = createSystemClock();
const random = createRandom(process.pid);

function tell(message: RoleMessage): void {
    process.send?.(message);
}

function tellUse(): void {
    const { user, system } = process.cpuUsage();
    tell({
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
            return startStandIn(clock);
        case "engineStandIn":
            return startEngineStandIn(clock, random);
        case "daemon":
            return startDaemon(spec.settings, clock, random);
        default:
            return startPlatform(spec.role, clock, random);
    }
}

const port = await start();
process.on("message", tellUse);
process.on("disconnect", () => process.exit(0));
tell({ kind: "listening", address: `http://127.0.0.1:${port}` });
