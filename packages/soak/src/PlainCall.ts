/** One plain request as its client saw it. */
export interface PlainCall {
    requestId: string;
    isRepeatable: boolean;
    /** Status of its answer; 0 if it broke off. */
    status: number;
}
