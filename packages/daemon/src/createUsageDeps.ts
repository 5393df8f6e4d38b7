import { createSendUsageReport } from "@auburnarch/platform/createSendUsageReport";
import { splitAddress } from "@auburnarch/platform/splitAddress";
import type { UsageDeps } from "@auburnarch/runner/usage/UsageDeps";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { RoleContext } from "./RoleContext.js";

/** Creates the dependencies for reporting the usage of teams; undefined if the settings do not ask for reports. */
export function createUsageDeps(
    { settings, currentSettings, clock }: RoleContext,
    starts: StartCountRegistry | undefined,
): UsageDeps | undefined {
    const { usage } = settings;
    if (usage === undefined || starts === undefined) {
        return undefined;
    }
    let addressInUse = usage.address;
    const address = (): { host: string; port: number; } => {
        addressInUse = currentSettings().usage?.address ?? addressInUse;
        return splitAddress(addressInUse)!;
    };
    return {
        times: { windowMs: usage.windowS * 1_000, dueMs: usage.dueS * 1_000 },
        starts,
        send: createSendUsageReport({ address, clock }),
    };
}
