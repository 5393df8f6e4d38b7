import type { RoutedRequest } from "../RoutedRequest.js";
import type { AdmissionDecision } from "./AdmissionDecision.js";

/** Admission of plain requests to one service. */
export interface ServiceAdmission {
    admit(request: RoutedRequest, signal: AbortSignal): Promise<AdmissionDecision>;
    close(): void;
}
