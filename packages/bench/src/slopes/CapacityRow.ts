/** One line of the capacity table: a quantity at the target size beside its budget. */
export interface CapacityRow {
    role: string;
    quantity: string;
    /** The largest size it was measured at. */
    measured: string;
    /** At the target size. */
    projected: number;
    budget: number;
    unit: string;
    extrapolated: boolean;
}
