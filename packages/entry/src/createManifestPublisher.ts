import { parseManifest } from "@auburnarch/config/parseManifest";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { OperatorApplied } from "@auburnarch/types/OperatorApplied";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { createHash } from "node:crypto";
import { ManifestFaults } from "./ManifestFaults.js";
import { ManifestRaced } from "./ManifestRaced.js";

const manifestKey = "config/manifest";
const sourceKey = "sources/manifest-file";
const fileEveryMs = 1_000;
const noObject = 0 as ObjectVersion;

interface ManifestPublisherDeps {
    clock: Clock;
    logger: Logger;
    store: ObjectStore;
    readFile: (() => Promise<string>) | undefined;
    onPublished: (version: ConfigVersion, manifest: unknown) => void;
}

interface ManifestPublisher {
    /** Publishes against `expectedVersion`; rejects with `ManifestFaults`, `ManifestRaced` or a store error. */
    publish(manifest: unknown, expectedVersion: number): Promise<OperatorApplied>;
    read(): Promise<StoredObject | undefined>;
    start(): void;
    stop(): void;
}

const isDigest = (value: unknown, digest: string): boolean =>
    (value as { digest?: unknown; } | undefined)?.digest === digest;

const sameValue = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/**
 * Publishes manifests as one object by conditional update, so that of two operators at once one is told what the
 * other published. A manifest with faults never reaches the object.
 */
export function createManifestPublisher(deps: ManifestPublisherDeps): ManifestPublisher {
    const { clock, logger, store } = deps;
    const stopped = new AbortController();
    let publishedText: string | undefined;

    function settle(stored: StoredObject, changed: boolean): OperatorApplied {
        const version = stored.version as number as ConfigVersion;
        deps.onPublished(version, stored.value);
        return { version, changed };
    }

    /** The answer was lost: what stands there now tells whether our manifest is it. */
    async function readBack(manifest: unknown, error: unknown): Promise<OperatorApplied> {
        const standing = codeOf(error) === resultCodes.storeUnavailable
            ? await store.read(manifestKey)
            : undefined;
        if (standing === undefined || !sameValue(standing.value, manifest)) {
            throw error;
        }
        return settle(standing, true);
    }

    async function publish(manifest: unknown, expectedVersion: number): Promise<OperatorApplied> {
        const checked = validateManifest(manifest);
        if (checked.kind === "invalid") {
            throw new ManifestFaults(checked.faults);
        }
        const value = checked.manifest;
        const standing = await store.read(manifestKey);
        if (standing !== undefined && sameValue(standing.value, value)) {
            return settle(standing, false);
        }
        try {
            const outcome = await store.write(manifestKey, value, expectedVersion as ObjectVersion);
            if (outcome.kind === "conflict") {
                throw new ManifestRaced(outcome.current);
            }
            logger.info("manifestPublished", { configVersion: outcome.version, name: value.name });
            return settle({ key: manifestKey, version: outcome.version, value }, true);
        }
        catch (error) {
            if (error instanceof ResultError && !(error instanceof ManifestRaced)) {
                return readBack(value, error);
            }
            throw error;
        }
    }

    /**
     * A file that was published before must not be published again by an entry that starts: an operator may have
     * applied a newer manifest since, and the old file would undo it. The digest of the last published text is kept
     * beside the manifest for that.
     */
    async function publishText(text: string): Promise<void> {
        const digest = createHash("sha256").update(text).digest("hex");
        const source = await store.read(sourceKey);
        if (isDigest(source?.value, digest)) {
            return;
        }
        const parsed = parseManifest(text);
        if (parsed.kind === "invalid") {
            logger.error("manifestFileInvalid", {
                code: resultCodes.manifestInvalid.number,
                faults: parsed.faults.map(fault => `${fault.path}: ${fault.message}`).join(" | "),
            });
            return;
        }
        const standing = await store.read(manifestKey);
        await publish(parsed.manifest, standing?.version ?? noObject);
        await store.write(sourceKey, { digest }, source?.version ?? noObject);
    }

    async function followFile(readFile: () => Promise<string>): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                const text = await readFile();
                if (text !== publishedText) {
                    await publishText(text);
                    publishedText = text;
                }
            }
            catch (error) {
                logger.warn("manifestFileNotPublished", { code: codeOf(error).name, fault: String(error) });
            }
            await clock.sleep(fileEveryMs, stopped.signal);
        }
    }

    return {
        publish,
        read: () => store.read(manifestKey),
        start: () => {
            if (deps.readFile !== undefined) {
                void followFile(deps.readFile);
            }
        },
        stop: () => stopped.abort(),
    };
}
