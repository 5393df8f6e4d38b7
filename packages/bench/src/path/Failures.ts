/** How many requests failed, by what they said. */
export type Failures = Record<string, number>;
