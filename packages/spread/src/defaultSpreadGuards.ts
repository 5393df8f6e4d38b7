import type { SpreadGuards } from "./SpreadGuards.js";

/** The guards in force outside of fault benches. */
export const defaultSpreadGuards: SpreadGuards = {
    forwardOnly: (held, offered) => offered > held,
};
