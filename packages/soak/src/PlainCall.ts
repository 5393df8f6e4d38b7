/** One plain request, as seen by its client. */
export interface PlainCall {
    requestId: string;
    isRepeatable: boolean;
    /** Status of the answer; 0 if the call broke off. */
    status: number;
}
