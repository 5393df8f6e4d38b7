import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { CallerRequest } from "./CallerRequest.js";

/** Content digest of a request; it is independent of the idempotency key, headers and team. */
export function digestRequest({ service, method, path, body }: CallerRequest): ContentDigest {
    return digestContent({ target: service, method, path, body });
}
