import type { Lease } from "@auburnarch/types/Lease";

/**
 * Tries to take a lease: resolves with it, or with undefined while another holds it. Remembers between calls
 * since when it has seen the present holder's last renewal.
 */
export type TryAcquireLease = (key: string) => Promise<Lease | undefined>;
