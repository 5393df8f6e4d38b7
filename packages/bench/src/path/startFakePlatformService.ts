import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createFakeVmList } from "@auburnarch/fakes/createFakeVmList";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import { serveObjectStore } from "@auburnarch/fakes/serveObjectStore";
import { serveScoring } from "@auburnarch/fakes/serveScoring";
import { serveVmList } from "@auburnarch/fakes/serveVmList";
import { serveWeightStore } from "@auburnarch/fakes/serveWeightStore";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

const lagMs = 1_000;
const transferMs = 100;
const latencyMs = 2;

/** Serves a fake of one of the platform's services. Returns its port. */
export async function startFakePlatformService(
    part: "objectApi" | "vmList" | "weightStore" | "scoring",
    clock: Clock,
    random: Random,
): Promise<number> {
    switch (part) {
        case "objectApi":
            return (await serveObjectStore(createFakeObjectStore({ clock, random }).store)).port;
        case "vmList":
            return (await serveVmList(createFakeVmList({ clock, lagMs }).vmList)).port;
        case "weightStore":
            return (await serveWeightStore(createFakeWeightStore({ clock, transferMs }).weightStore)).port;
        case "scoring":
            return (await serveScoring(createFakeScoring({ clock, latencyMs }).scoring)).port;
    }
}
