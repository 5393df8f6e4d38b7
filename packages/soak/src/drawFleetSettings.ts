import { createRandom } from "@auburnarch/clock/createRandom";

interface FleetSettingsOptions {
    seed: number;
    relaysStoreCalls?: boolean;
    drawsFleetSettings?: boolean;
}

interface FleetSettings {
    gateway: Record<string, unknown>;
    runner: Record<string, unknown>;
}

/** At two losses, the defaults turn on copies of texts, relayed store calls and priority for late trainers. */
const toleratedLosses = 2;
/** Enough for the bodies of all callers of a run. */
const maxHeldBodyBytes = 8_000_000;

/** Draws the settings of a run by its seed, apart from its faults. Each is on in half of the runs. */
export function drawFleetSettings(options: FleetSettingsOptions): FleetSettings {
    const random = createRandom(options.seed);
    // The first numbers of seeds that follow each other are much alike.
    Array.from({ length: 4 }, random.nextId);
    const mayDraw = options.drawsFleetSettings === true;
    const losses = mayDraw && random.nextInt(2) === 0 ? { toleratedLosses } : {};
    const admission = mayDraw && random.nextInt(2) === 0 ? { admission: {}, maxHeldBodyBytes } : {};
    const shared = { ...(options.relaysStoreCalls === true ? { relaysStoreCalls: true } : {}), ...losses };
    return { gateway: { ...shared, ...admission }, runner: shared };
}
