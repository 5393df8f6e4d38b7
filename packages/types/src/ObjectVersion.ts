import type { Brand } from "./Brand.js";

/** Version of a stored object, growing over the whole store; 0 stands for "does not exist". */
export type ObjectVersion = Brand<number, "ObjectVersion">;
