/** An answer to a call of a test. */
export interface TestAnswer {
    status: number;
    headers: Record<string, unknown>;
    body: string;
}
