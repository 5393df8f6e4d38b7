import { diffManifests } from "@auburnarch/config/diffManifests";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { OperatorApplied } from "@auburnarch/types/OperatorApplied";
import type { OperatorManifest } from "@auburnarch/types/OperatorManifest";
import type { OperatorClient } from "./OperatorClient.js";
import { OperatorFailure } from "./OperatorFailure.js";

/** Error codes after which the manifest may or may not have been published. */
const ambiguousCodes: number[] = [resultCodes.peerUnreachable.number, resultCodes.storeUnavailable.number];

/**
 * Publishes a manifest if the published version is still `expectedVersion`. If the answer is lost, the published
 * manifest is read back: a blind retry would report a conflict with the client's own first attempt.
 */
export async function publishManifest(
    client: OperatorClient,
    manifest: Manifest,
    expectedVersion: number,
): Promise<OperatorApplied> {
    try {
        return await client.post("/operator/manifest", { manifest, expectedVersion }) as OperatorApplied;
    }
    catch (error) {
        if (!(error instanceof OperatorFailure) || !ambiguousCodes.includes(error.error.code)) {
            throw error;
        }
        const published = await client.get("/operator/manifest") as OperatorManifest;
        const isOurs = published.manifest !== undefined
            && published.version > expectedVersion
            && diffManifests(published.manifest, manifest).length === 0;
        if (isOurs) {
            return { version: published.version, changed: true };
        }
        throw error;
    }
}
