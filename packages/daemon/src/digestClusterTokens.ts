import type { Settings } from "@auburnarch/config/Settings";
import { digestToken } from "./digestToken.js";

interface ClusterTokenDigests {
    clusterTokenDigest: string;
    previousClusterTokenDigest: string | undefined;
}

/** Digests of the tokens that a process accepts from other processes of the system. */
export function digestClusterTokens({ clusterToken, previousClusterToken }: Settings): ClusterTokenDigests {
    return {
        clusterTokenDigest: digestToken(clusterToken),
        previousClusterTokenDigest: previousClusterToken === undefined
            ? undefined
            : digestToken(previousClusterToken),
    };
}
