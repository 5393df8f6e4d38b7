/** Calls to the object API for leases that are held. */
export interface LeasePoint {
    leases: number;
    writesPerSecond: number;
    readsPerSecond: number;
}
