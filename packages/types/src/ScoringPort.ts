/** A scoring service. Scores one finished text; idempotent. Rejects with code `scoringUnavailable`. */
export type ScoringPort = (service: string, prompt: string, text: string) => Promise<number>;
