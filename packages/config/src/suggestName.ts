import { nearestName } from "./nearestName.js";

/** Returns ` Did you mean "x"?` for the nearest valid name, or an empty string if none is close. */
export function suggestName(given: string, validNames: readonly string[]): string {
    const nearest = nearestName(given, validNames);
    return nearest === undefined ? "" : ` Did you mean "${nearest}"?`;
}
