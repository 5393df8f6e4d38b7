import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** Formats each fault as one line that starts with its path. */
export function formatFaults(faults: ConfigFault[]): string[] {
    return faults.map(({ path, message }) => path === "" ? message : `${path}: ${message}`);
}
