import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { createHash } from "node:crypto";

/** The parts of a request that determine what is executed, and where. */
interface RequestContent {
    /** Service or host that the request is addressed to. */
    target: string;
    method: string;
    path: string;
    body: Uint8Array;
}

/** Content digest of a request; independent of its id, headers and caller. */
export function digestContent({ target, method, path, body }: RequestContent): ContentDigest {
    const hash = createHash("sha256");
    hash.update(`${target}\n${method}\n${path}\n`);
    hash.update(body);
    return hash.digest("hex") as ContentDigest;
}
