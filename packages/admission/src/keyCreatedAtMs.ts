import { validate, version } from "uuid";

const timeChars = 12;

/** Creation time of a UUIDv7 in milliseconds of wall time; undefined for any other text. */
export function keyCreatedAtMs(key: string): number | undefined {
    if (!validate(key) || version(key) !== 7) {
        return undefined;
    }
    return Number.parseInt(key.replaceAll("-", "").slice(0, timeChars), 16);
}
