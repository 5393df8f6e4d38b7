import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { CallerRequest } from "./CallerRequest.js";

/** Digest of what a request asks to run, the same whatever its key, headers and team. */
export function digestRequest({ service, method, path, body }: CallerRequest): ContentDigest {
    return digestContent({ target: service, method, path, body });
}
