import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Region } from "@auburnarch/types/Region";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createFakeVmList } from "./createFakeVmList.js";
import { createFakeWeightStore } from "./createFakeWeightStore.js";

const recordOf = (vm: string): VmRecord => ({
    vm: vm as VmId,
    address: "http://127.0.0.1:1",
    failureDomain: "Burgos" as FailureDomain,
    region: "norte" as Region,
    role: "entry",
    sampler: undefined,
    state: "live",
});

test("the VM list shows changes only after its lag", async () => {
    const clock = createFakeClock();
    const { vmList, control } = createFakeVmList({
        clock,
        lagMs: 5_000,
        records: [recordOf("a"), recordOf("b")],
    });
    const shown: string[] = [];
    control.markLeaving("a" as VmId);
    control.add(recordOf("c"));
    control.remove("b" as VmId);
    for (let second = 0; second < 7; second += 2) {
        shown.push((await vmList()).map(record => `${record.vm}:${record.state}`).join(" "));
        await clock.advance(2_000);
    }
    expect(shown).toMatchInlineSnapshot(`
      [
        "a:live b:live",
        "a:live b:live",
        "a:live b:live",
        "a:leaving c:live",
      ]
    `);
});

test("the weight store refuses downloads beyond its slots and its rate limit", async () => {
    const clock = createFakeClock();
    const { weightStore, control } = createFakeWeightStore({
        clock,
        transferMs: 1_000,
        maxConcurrent: 2,
        ratePerSecond: 3,
    });
    const download = () =>
        weightStore("p" as PolicyId, 1 as WeightVersion, "x").then(() => "ok", error => codeOf(error).name);
    const first = [download(), download(), download()];
    await clock.advance(1_000);
    const second = [download(), download()];
    await clock.advance(1_000);
    expect(await Promise.all(first)).toEqual(["ok", "ok", "weightStoreThrottled"]);
    expect(await Promise.all(second)).toEqual(["ok", "ok"]);
    expect([control.downloads(), control.refused(), control.maxRunning()]).toEqual([4, 1, 2]);
});
