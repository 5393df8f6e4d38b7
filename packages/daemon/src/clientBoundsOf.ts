import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { readFileSync } from "node:fs";
import { getHeapStatistics } from "node:v8";

interface ClientBounds {
    maxHeldBodyBytes: number;
    maxConnections: number;
}

const bytesPerMb = 1_000_000;
/** Memory that a process is taken to have for each byte of its heap limit. */
const memoryPerHeapLimit = 1.1;
const bodyShareOfMemory = 0.2;
const maxHeldBodyBytes = 134_217_728;
/** What a connection with a request in flight may take of the memory, beside the body. */
const memoryBytesPerConnection = 200_000;
/** Descriptors for files, and for connections to the store, to peers and of probes. */
const reservedOpenFiles = 200;
/** A request in flight takes a connection from its client and one to a sampler. */
const openFilesPerConnection = 2;
const defaultOpenFiles = 1_024;

/** The limit of descriptors that this process was started with. */
function readOpenFileLimit(): number {
    try {
        const limits = readFileSync("/proc/self/limits", "utf8");
        return Number(/^Max open files\s+(\d+)/mu.exec(limits)?.[1] ?? defaultOpenFiles);
    }
    catch {
        return defaultOpenFiles;
    }
}

/** What a gateway may hold for its clients, from the memory and the descriptors of its process. */
export function clientBoundsOf(settings: RoleSettings): ClientBounds {
    const memoryBytes = settings.memoryMb === undefined
        ? getHeapStatistics().heap_size_limit * memoryPerHeapLimit
        : settings.memoryMb * bytesPerMb;
    const openFiles = settings.maxOpenFiles ?? readOpenFileLimit();
    const byOpenFiles = (openFiles - reservedOpenFiles) / openFilesPerConnection;
    const byMemory = memoryBytes / memoryBytesPerConnection;
    return {
        maxHeldBodyBytes: settings.maxHeldBodyBytes
            ?? Math.floor(Math.min(maxHeldBodyBytes, memoryBytes * bodyShareOfMemory)),
        maxConnections: settings.maxClientConnections
            ?? Math.max(1, Math.floor(Math.min(byOpenFiles, byMemory))),
    };
}
