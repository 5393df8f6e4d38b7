/** Mixes a number into a hash; the arguments and the result are unsigned 32-bit numbers. */
export function mixHash(hash: number, value: number): number {
    let mixed = Math.imul(hash ^ value, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
    return (mixed ^ (mixed >>> 13)) >>> 0;
}
