/** Calls to the object API per second for a number of held leases. */
export interface LeasePoint {
    leases: number;
    writesPerSecond: number;
    readsPerSecond: number;
}
