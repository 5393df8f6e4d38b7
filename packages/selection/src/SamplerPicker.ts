import type { Random } from "@auburnarch/types/Random";
import type { Candidate } from "./Candidate.js";
import type { PickDecision } from "./PickDecision.js";
import type { PickRequest } from "./PickRequest.js";

/** Chooses among candidates that all are able to run the request. Pure but for the draws it takes. */
export type SamplerPicker = (candidates: Candidate[], request: PickRequest, random: Random) => PickDecision;
