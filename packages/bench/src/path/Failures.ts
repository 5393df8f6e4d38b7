/** Number of failed requests by error message. */
export type Failures = Record<string, number>;
