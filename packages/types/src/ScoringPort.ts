/** Scores one finished text at a scoring service; idempotent. Rejects with code `scoringUnavailable`. */
export type ScoringPort = (service: string, prompt: string, text: string) => Promise<number>;
