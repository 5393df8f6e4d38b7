import type { Settings } from "@auburnarch/config/Settings";
import { createTrust } from "@auburnarch/tls/createTrust";
import type { Trust } from "@auburnarch/tls/Trust";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

/** Loads the certificates named in the settings; undefined if processes communicate without TLS. */
export async function openTrust(
    { tls }: Settings,
    deps: { clock: Clock; logger: Logger; },
): Promise<Trust | undefined> {
    return tls === undefined ? undefined : createTrust(tls, deps);
}
