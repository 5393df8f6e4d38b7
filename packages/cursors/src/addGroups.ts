/** Returns a copy of the bitmap with the groups' bits set. */
export function addGroups(bitmap: Uint8Array, groups: readonly number[]): Uint8Array {
    const next = Uint8Array.from(bitmap);
    for (const group of groups) {
        next[group >> 3] = (next[group >> 3] ?? 0) | (1 << (group & 7));
    }
    return next;
}
