import type { Brand } from "./Brand.js";

/** Increases with each change of a lease's holder; a receiver refuses a number lower than the highest it knows. */
export type FencingNumber = Brand<number, "FencingNumber">;
