import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { servePlainService } from "@auburnarch/fakes/servePlainService";
import type { Clock } from "@auburnarch/types/Clock";

const answer = Buffer.from(JSON.stringify({ tile: "x".repeat(200) }));

/** Serves a fake plain service. Returns its port. */
export async function startFakePlainService(clock: Clock): Promise<number> {
    const { backend } = createFakePlainService({ clock, answer: () => answer });
    return (await servePlainService(backend)).port;
}
