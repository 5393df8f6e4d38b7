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
 * A scripted run for what the random ones bring about too rarely: a content is in flight at one death of a killing
 * content and at one of another. Each death has another explanation, so nothing speaks against it.
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
        const death = { vm: vm as VmId, bootId: `boot of ${vm}`, contents: contents.length };
        const suspects = contents.map(digest => ({ digest: digest as ContentDigest, deaths: [death] }));
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
