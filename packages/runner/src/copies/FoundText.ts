import type { OpenText } from "./OpenText.js";

/** A copy of a text, and the runner that holds it. */
export interface FoundText extends OpenText {
    from: string;
}
