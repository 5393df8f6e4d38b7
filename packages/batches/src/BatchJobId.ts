import type { Brand } from "@auburnarch/types/Brand";

/** Identifies a batch job; chosen by the client that submits it. */
export type BatchJobId = Brand<string, "LotId">;
