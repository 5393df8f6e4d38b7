import { readdir, readFile } from "node:fs/promises";

const bytesPerKb = 1_024;

/** Reads the peak memory and the open descriptors of a process; both are 0 once it has ended. */
export async function readProcessState(pid: number): Promise<{ peakBytes: number; openFiles: number; }> {
    const status = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
    const files = await readdir(`/proc/${pid}/fd`).catch(() => []);
    const peakKb = Number(/^VmHWM:\s*(\d+) kB/mu.exec(status)?.[1] ?? 0);
    return { peakBytes: peakKb * bytesPerKb, openFiles: files.length };
}
