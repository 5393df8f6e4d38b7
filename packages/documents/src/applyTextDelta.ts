import { hashText } from "./hashText.js";
import type { TextDelta } from "./TextDelta.js";

/** `base` changed by `delta`; undefined where the result is not the text the delta was made for. */
export function applyTextDelta(base: string, delta: TextDelta): string | undefined {
    const end = delta.startChars + delta.removedChars;
    const result = base.slice(0, delta.startChars) + delta.inserted + base.slice(end);
    return hashText(result) === delta.sha256 ? result : undefined;
}
