/** Key of a key range's lease in the object API. */
export function rangeLeaseKey(range: number): string {
    return `leases/range/${range}`;
}
