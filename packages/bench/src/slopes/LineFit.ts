/** A straight line through points. */
export interface LineFit {
    slope: number;
    intercept: number;
    /** Part of the variance that the line explains; 1 where there is none to explain. */
    r2: number;
}
