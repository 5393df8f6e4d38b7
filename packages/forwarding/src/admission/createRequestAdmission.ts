import { resultCodes } from "@auburnarch/errors/resultCodes";
import { chooseService } from "@auburnarch/routing/chooseService";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { requestLimitMs } from "../requestLimitMs.js";
import { createRefusedContents } from "./createRefusedContents.js";
import { createServiceAdmission } from "./createServiceAdmission.js";
import type { RequestAdmission } from "./RequestAdmission.js";
import type { ServiceAdmission } from "./ServiceAdmission.js";
import type { ServiceAdmissionDeps } from "./ServiceAdmissionDeps.js";

/** Of a request whose route has no service to send it to, which only a change of the configuration mends. */
const maxRetryAfterMs = 250;

/** Creates the admission of a gateway: each service has its own queue and limit. */
export function createRequestAdmission(
    deps: Omit<ServiceAdmissionDeps, "refusedContents">,
): RequestAdmission {
    const { clock, random } = deps;
    const refusedContents = createRefusedContents(clock.monotonicMs);
    const services = new Map<ServiceId, ServiceAdmission>();
    let isClosed = false;

    function admissionOf(service: ServiceId): ServiceAdmission {
        const known = services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = createServiceAdmission({ ...deps, refusedContents, random: random.fork() }, service);
        services.set(service, created);
        if (isClosed) {
            created.close();
        }
        return created;
    }

    return {
        admit: async (request, signal) => {
            const service = chooseService(request.route, random);
            if (service === undefined) {
                const code = resultCodes.noSampler;
                const retryAfterMs = Math.min(maxRetryAfterMs, requestLimitMs(request) / 3);
                const outcome = {
                    kind: "failed" as const,
                    code,
                    detail: "route without service",
                    retryAfterMs,
                };
                return { kind: "refused", outcome };
            }
            return admissionOf(service).admit(request, signal);
        },
        close: () => {
            isClosed = true;
            services.forEach(service => service.close());
        },
    };
}
