import { validate, version } from "uuid";

const timeChars = 12;

/** Wall time in milliseconds at which a UUIDv7 was minted; undefined for anything else. */
export function mintTime(key: string): number | undefined {
    if (!validate(key) || version(key) !== 7) {
        return undefined;
    }
    return Number.parseInt(key.replaceAll("-", "").slice(0, timeChars), 16);
}
