import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Runs a full garbage collection, so that the used heap contains only live objects. */
export function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
}
