import { hashText } from "./hashText.js";
import { mixHash } from "./mixHash.js";

const vocabularySize = 4_096;

/**
 * Text of the tokens from index `from` up to but without `to` that a fake engine makes of a prompt and seed.
 * It depends on nothing else, so that a resumed sample equals an unbroken one.
 */
export function fakeText(prompt: string, seed: number, from: number, to: number): string {
    const base = mixHash(hashText(prompt), seed);
    let text = "";
    for (let index = from; index < to; index++) {
        text += ` ${(mixHash(base, index) % vocabularySize).toString(36)}`;
    }
    return text;
}
