import type { SamplerReply } from "./SamplerReply.js";

type Answered = Extract<SamplerReply, { kind: "answered"; }>;

/** How one try ended. The answer to an idempotent request is whole; that of another may still break off. */
export type SamplerAttemptOutcome = { kind: "done"; answer: Answered; } | Exclude<SamplerReply, Answered>;
