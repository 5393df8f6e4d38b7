import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Collects all garbage now, so that the heap in use is what is live. */
export function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
}
