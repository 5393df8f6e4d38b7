import type { EngineChunk } from "@auburnarch/types/EngineChunk";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { GateGuards } from "./GateGuards.js";
import type { ServedWeights } from "./ServedWeights.js";

/**
 * Makes a function that turns an engine's chunks into spans naming the version that made them, or undefined where
 * that cannot be said. A chunk's own fingerprint wins over what the gate believes; a contradiction puts the
 * sampler in doubt, so that nothing more starts on weights nobody ordered.
 */
export function createStamper(
    weights: ServedWeights,
    guards: GateGuards,
    policy: PolicyId,
    parse: (fingerprint: string) => { policy: PolicyId; version: WeightVersion; } | undefined,
): (chunk: EngineChunk) => TokenSpan | undefined {
    const versionAtStart = weights.versionOf(policy);

    function versionOf(chunk: EngineChunk): WeightVersion | undefined {
        weights.noteChunk(chunk.fingerprint !== undefined);
        if (chunk.fingerprint === undefined) {
            return versionAtStart;
        }
        const told = parse(chunk.fingerprint);
        const expected = told !== undefined && told.policy === policy
            && weights.isExpected(policy, told.version);
        if (expected) {
            return told.version;
        }
        if (guards.provenance(false)) {
            return weights.versionOf(policy) ?? versionAtStart;
        }
        if (weights.state() !== "unknownVersion") {
            weights.doubt(`fingerprint ${chunk.fingerprint}`);
            void weights.describe();
        }
        return told?.policy === policy ? told.version : undefined;
    }

    return chunk => {
        const version = versionOf(chunk);
        return version === undefined ? undefined : { version, tokens: chunk.tokens, text: chunk.text };
    };
}
