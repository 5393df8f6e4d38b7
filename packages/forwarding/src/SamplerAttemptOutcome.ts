import type { SamplerReply } from "./SamplerReply.js";

type Answered = Extract<SamplerReply, { kind: "answered"; }>;

/** Result of one attempt. The answer to an idempotent request is complete; that of another may still break off. */
export type SamplerAttemptOutcome = { kind: "done"; answer: Answered; } | Exclude<SamplerReply, Answered>;
