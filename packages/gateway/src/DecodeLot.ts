import type { Lot } from "@auburnarch/lots/Lot";
import type { LotId } from "@auburnarch/lots/LotId";

/** Decodes a submitted batch job, but for whose it is; throws a `ResultError` of code `badRequest` that names the fault. */
export type DecodeLot = (lot: LotId, host: string, path: string, body: Uint8Array) => Omit<Lot, "team">;
