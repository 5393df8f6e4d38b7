/** A straight line fitted to points. */
export interface LineFit {
    slope: number;
    intercept: number;
    /** Fraction of the variance that the line explains; 1 if there is no variance. */
    r2: number;
}
