import { hashText } from "./hashText.js";
import type { TextDelta } from "./TextDelta.js";

/** Applies `delta` to `base`; undefined if the result does not match the delta's hash. */
export function applyTextDelta(base: string, delta: TextDelta): string | undefined {
    const end = delta.startChars + delta.removedChars;
    const result = base.slice(0, delta.startChars) + delta.inserted + base.slice(end);
    return hashText(result) === delta.sha256 ? result : undefined;
}
