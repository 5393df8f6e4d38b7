import type { Brand } from "./Brand.js";

/** Version of a stored object, increasing over the whole store; 0 means that the object does not exist. */
export type ObjectVersion = Brand<number, "ObjectVersion">;
