/** Request to the scoring service that scores an item's finished text. */
export interface RewardCall {
    requestId: string;
    host: string;
    path: string;
    bodyBase64: string;
}
