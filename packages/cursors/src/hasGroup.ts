/** True if the group's bit is set in the bitmap. */
export function hasGroup(bitmap: Uint8Array, group: number): boolean {
    return ((bitmap[group >> 3] ?? 0) & (1 << (group & 7))) !== 0;
}
