import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** One line for each fault, its path first. */
export function formatFaults(faults: ConfigFault[]): string[] {
    return faults.map(({ path, message }) => path === "" ? message : `${path}: ${message}`);
}
