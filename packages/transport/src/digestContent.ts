import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { createHash } from "node:crypto";

/** What a request asks to run, and of whom. */
interface RequestContent {
    /** The service or host that it is for. */
    target: string;
    method: string;
    path: string;
    body: Uint8Array;
}

/** Digest of what a request asks to run, the same whatever its id, headers and caller. */
export function digestContent({ target, method, path, body }: RequestContent): ContentDigest {
    const hash = createHash("sha256");
    hash.update(`${target}\n${method}\n${path}\n`);
    hash.update(body);
    return hash.digest("hex") as ContentDigest;
}
