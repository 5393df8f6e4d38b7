import { nearestName } from "./nearestName.js";

/** ` Did you mean "x"?` for the nearest valid name, or an empty text. */
export function suggestName(given: string, validNames: readonly string[]): string {
    const nearest = nearestName(given, validNames);
    return nearest === undefined ? "" : ` Did you mean "${nearest}"?`;
}
