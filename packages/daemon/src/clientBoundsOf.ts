import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { getHeapStatistics } from "node:v8";

interface ClientBounds {
    maxHeldBodyBytes: number;
}

const bytesPerMb = 1_000_000;
/** Memory that a process is taken to have for each byte of its heap limit. */
const memoryPerHeapLimit = 1.1;
const bodyShareOfMemory = 0.2;
const maxHeldBodyBytes = 134_217_728;
/** What a gateway may hold for its clients, from the memory of its process. */
export function clientBoundsOf(settings: RoleSettings): ClientBounds {
    const memoryBytes = settings.memoryMb === undefined
        ? getHeapStatistics().heap_size_limit * memoryPerHeapLimit
        : settings.memoryMb * bytesPerMb;
    return {
        maxHeldBodyBytes: settings.maxHeldBodyBytes
            ?? Math.floor(Math.min(maxHeldBodyBytes, memoryBytes * bodyShareOfMemory)),
    };
}
