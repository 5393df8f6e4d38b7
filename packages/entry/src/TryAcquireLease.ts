import type { Lease } from "@auburnarch/types/Lease";

/**
 * Tries to acquire a lease: resolves with it, or with undefined while another process holds it. Between calls it
 * records when it first saw the latest renewal by the current holder.
 */
export type TryAcquireLease = (key: string) => Promise<Lease | undefined>;
