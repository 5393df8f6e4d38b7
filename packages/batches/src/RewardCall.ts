/** The request to the scoring service that rates an item's finished text. */
export interface RewardCall {
    requestId: string;
    host: string;
    path: string;
    bodyBase64: string;
}
