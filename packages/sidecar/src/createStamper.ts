import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { ServedWeights } from "./ServedWeights.js";
import type { SidecarGuards } from "./SidecarGuards.js";

/**
 * Creates a function that turns an engine's chunk into a span with the version that produced it, or returns undefined
 * if that version is unknown. A chunk's own fingerprint takes precedence over the version that the sidecar expects.
 * After a contradiction the served version counts as unknown, so that nothing more starts on weights that were not
 * ordered.
 */
export function createStamper(
    weights: ServedWeights,
    guards: SidecarGuards,
    policy: PolicyId,
    parse: (fingerprint: string) => { policy: PolicyId; version: WeightVersion; } | undefined,
): (chunk: EngineChunk) => TokenSpan | undefined {
    const versionAtStart = weights.versionOf(policy);

    function versionOf(chunk: EngineChunk): WeightVersion | undefined {
        weights.recordChunk(chunk.fingerprint !== undefined);
        if (chunk.fingerprint === undefined) {
            return versionAtStart;
        }
        const reported = parse(chunk.fingerprint);
        const expected = reported !== undefined && reported.policy === policy
            && weights.isExpected(policy, reported.version);
        if (expected) {
            return reported.version;
        }
        if (guards.provenance(false)) {
            return weights.versionOf(policy) ?? versionAtStart;
        }
        if (weights.state() !== "unknownVersion") {
            weights.markUnknown(`fingerprint ${chunk.fingerprint}`);
            void weights.describe();
        }
        return reported?.policy === policy ? reported.version : undefined;
    }

    return chunk => {
        const version = versionOf(chunk);
        return version === undefined ? undefined : { version, tokens: chunk.tokens, text: chunk.text };
    };
}
