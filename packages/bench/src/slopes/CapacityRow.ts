/** One row of the capacity table: a quantity at the target size and its budget. */
export interface CapacityRow {
    role: string;
    quantity: string;
    /** The largest size at which it was measured. */
    measured: string;
    /** Value at the target size. */
    projected: number;
    budget: number;
    unit: string;
    extrapolated: boolean;
}
