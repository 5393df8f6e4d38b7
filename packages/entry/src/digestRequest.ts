import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { createHash } from "node:crypto";
import type { CallerRequest } from "./CallerRequest.js";

/** Digest of what a request asks to run, the same whatever its key, headers and team. */
export function digestRequest({ service, method, path, body }: CallerRequest): ContentDigest {
    const hash = createHash("sha256");
    hash.update(`${service}\n${method}\n${path}\n`);
    hash.update(body);
    return hash.digest("hex") as ContentDigest;
}
