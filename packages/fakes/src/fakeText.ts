import { hashText } from "./hashText.js";
import { mixHash } from "./mixHash.js";

const vocabularySize = 4_096;

/**
 * Text that a fake engine generates for a prompt and a seed, for the tokens from index `from` up to but excluding `to`.
 * It depends on nothing else, so that a resumed sample equals an uninterrupted one.
 */
export function fakeText(prompt: string, seed: number, from: number, to: number): string {
    const base = mixHash(hashText(prompt), seed);
    let text = "";
    for (let index = from; index < to; index++) {
        text += ` ${(mixHash(base, index) % vocabularySize).toString(36)}`;
    }
    return text;
}
