import { createQuarantine } from "@auburnarch/admission/createQuarantine";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";
import { createNoopLogger } from "../createNoopLogger.js";
import type { FaultGuards } from "../FaultGuards.js";
import type { ScriptedViolation } from "./ScriptedViolation.js";

const bystander = "bystander" as ContentDigest;

/**
 * A scripted run for a case that random runs rarely produce: a content is in flight at one crash caused by each of two
 * crash-inducing contents. Both crashes are explained by those, so the bystander must not be refused.
 */
export function runBystanderScript(guards: FaultGuards): ScriptedViolation | undefined {
    const clock = createFakeClock();
    const random = createRandom(1);
    const { store } = createFakeObjectStore({ clock, random: random.fork() });
    const quarantine = createQuarantine({
        ...guards.quarantine,
        store,
        clock,
        random,
        logger: createNoopLogger(),
    });
    const crashes: [string, string[]][] = [
        ["vm-1", ["first killer", bystander]],
        ["vm-2", ["second killer", bystander]],
        ["vm-3", ["first killer"]],
        ["vm-4", ["second killer"]],
    ];
    for (const [vm, contents] of crashes) {
        const crash = { vm: vm as VmId, bootId: `boot of ${vm}`, contents: contents.length };
        const suspects = contents.map(digest => ({ digest: digest as ContentDigest, deaths: [crash] }));
        quarantine.recordSuspects({ suspects });
    }
    return quarantine.isRefused(bystander)
        ? {
            promise: "bystanderRefused",
            detail: "a content that was beside two killing ones is refused",
            atMs: clock.monotonicMs(),
        }
        : undefined;
}
