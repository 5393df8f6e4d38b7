import type { RoutedRequest } from "../RoutedRequest.js";
import type { AdmissionDecision } from "./AdmissionDecision.js";

/** Admission of plain requests to the services of a gateway. */
export interface RequestAdmission {
    /** Resolves once the request may be sent or is refused; aborting the signal removes it from the queue. */
    admit(request: RoutedRequest, signal: AbortSignal): Promise<AdmissionDecision>;
    /** Refuses all requests that wait, and from now on every request that would have to wait. */
    close(): void;
}
