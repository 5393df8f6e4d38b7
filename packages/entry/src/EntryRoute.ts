import type { JobId } from "@auburnarch/types/JobId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { StepNumber } from "@auburnarch/types/StepNumber";

/** The operation that an HTTP request to an entry asks for, derived from its method and path only. */
export type EntryRoute =
    | { kind: "service"; service: ServiceId; path: string; }
    | { kind: "openStep"; job: JobId; }
    | { kind: "publishWeights"; job: JobId; }
    | { kind: "readGroups"; job: JobId; step: StepNumber; cursor: string | undefined; waitMs: number; }
    | { kind: "jobStatus"; job: JobId; }
    | { kind: "teamUsage"; }
    | { kind: "operator"; action: string; query: URLSearchParams; }
    | { kind: "rpc"; }
    | { kind: "health"; }
    | { kind: "ready"; }
    | { kind: "metrics"; }
    | { kind: "none"; };
