import type { Random } from "@auburnarch/types/Random";
import type { Candidate } from "./Candidate.js";
import type { PickDecision } from "./PickDecision.js";
import type { PickRequest } from "./PickRequest.js";

/** Chooses among candidates that can all run the request. Pure apart from `random`. */
export type SamplerPicker = (candidates: Candidate[], request: PickRequest, random: Random) => PickDecision;
