/** Invariant violations found in one run. */
export interface Violations {
    add(promise: string, detail: string): void;
    list(): { promise: string; detail: string; atMs: number; }[];
    count(): number;
}
