import { parseManifest } from "@auburnarch/config/parseManifest";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Logger } from "@auburnarch/types/Logger";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { OperatorApplied } from "@auburnarch/types/OperatorApplied";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { createHash } from "node:crypto";
import { z } from "zod";
import { ManifestConflictError } from "./ManifestConflictError.js";
import { ManifestInvalidError } from "./ManifestInvalidError.js";

const manifestKey = "config/manifest";
const sourceKey = "sources/manifest-file";
const filePollMs = 1_000;
const maxFileAttempts = 3;
const noObject = 0 as ObjectVersion;

interface ManifestPublisherDeps {
    clock: Clock;
    logger: Logger;
    store: ObjectStore;
    readFile: (() => Promise<string>) | undefined;
    onPublished: (version: ConfigVersion, manifest: unknown) => void;
}

interface ManifestPublisher {
    /**
     * Publishes a manifest if the published version is still `expectedVersion`; rejects with `ManifestInvalidError`,
     * `ManifestConflictError` or a store error.
     */
    publish(manifest: unknown, expectedVersion: number): Promise<OperatorApplied>;
    read(): Promise<StoredObject | undefined>;
    start(): void;
    stop(): void;
}

/** Digest of the last text published from the file, and the manifest version that it was to replace. */
const sourceSchema = z.object({ digest: z.string(), baseVersion: z.int().nonnegative() });

const sameValue = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/**
 * Publishes manifests to a single object with conditional writes: of two operators publishing concurrently, one is
 * refused and receives the manifest of the other. A manifest with faults is never written.
 */
export function createManifestPublisher(deps: ManifestPublisherDeps): ManifestPublisher {
    const { clock, logger, store } = deps;
    const stopped = new AbortController();
    let publishedText: string | undefined;

    function acceptPublished(stored: StoredObject, changed: boolean): OperatorApplied {
        const version = stored.version as number as ConfigVersion;
        deps.onPublished(version, stored.value);
        return { version, changed };
    }

    /**
     * The answer to a write was lost: reads the object to find out whether it contains the manifest. If the read fails,
     * the outcome stays unknown, whatever the code of its error.
     */
    async function confirmPublished(manifest: unknown, error: unknown): Promise<OperatorApplied> {
        const current = codeOf(error) === resultCodes.storeUnavailable
            ? await store.read(manifestKey).catch(() => undefined)
            : undefined;
        if (current === undefined || !sameValue(current.value, manifest)) {
            throw error;
        }
        return acceptPublished(current, true);
    }

    async function publish(manifest: unknown, expectedVersion: number): Promise<OperatorApplied> {
        const checked = validateManifest(manifest);
        if (checked.kind === "invalid") {
            throw new ManifestInvalidError(checked.faults);
        }
        const value = checked.manifest;
        const current = await store.read(manifestKey);
        if (current !== undefined && sameValue(current.value, value)) {
            return acceptPublished(current, false);
        }
        try {
            const outcome = await store.write(manifestKey, value, expectedVersion as ObjectVersion);
            if (outcome.kind === "conflict") {
                throw new ManifestConflictError(outcome.current);
            }
            logger.info("manifestPublished", { configVersion: outcome.version, name: value.name });
            return acceptPublished({ key: manifestKey, version: outcome.version, value }, true);
        }
        catch (error) {
            if (error instanceof ResultError && !(error instanceof ManifestConflictError)) {
                return confirmPublished(value, error);
            }
            throw error;
        }
    }

    function parseFile(text: string): Manifest | undefined {
        const parsed = parseManifest(text);
        if (parsed.kind === "valid") {
            return parsed.manifest;
        }
        logger.error("manifestFileInvalid", {
            code: resultCodes.manifestInvalid.number,
            faults: parsed.faults.map(fault => `${fault.path}: ${fault.message}`).join(" | "),
        });
        return undefined;
    }

    /**
     * A file that has been published must not be published again by an entry that restarts or was disconnected: an
     * operator may have applied a newer manifest in the meantime, and the old file would overwrite it. So the intent is
     * written first, with the version to be replaced. An entry that finds the same intent publishes only against that
     * version: if a newer one exists, the file has either been published or superseded.
     */
    async function publishText(text: string): Promise<void> {
        const digest = createHash("sha256").update(text).digest("hex");
        const source = await store.read(sourceKey);
        const current = await store.read(manifestKey);
        const version = current?.version ?? noObject;
        const intent = sourceSchema.safeParse(source?.value).data;
        const isIntentStored = intent?.digest === digest;
        if (isIntentStored && version > intent.baseVersion) {
            return;
        }
        const manifest = parseFile(text);
        if (manifest === undefined) {
            return;
        }
        await publishWithIntent(
            { digest, baseVersion: version },
            manifest,
            source?.version ?? noObject,
            isIntentStored,
        );
    }

    /** Retries after a conflict with another change: a conflicting write certainly had no effect. */
    async function publishWithIntent(
        intent: z.infer<typeof sourceSchema>,
        manifest: Manifest,
        firstIntentVersion: ObjectVersion,
        isIntentStored: boolean,
    ): Promise<void> {
        let { baseVersion } = intent;
        let intentVersion = firstIntentVersion;
        for (let attempt = 0; attempt < maxFileAttempts; attempt++) {
            if (!isIntentStored || attempt > 0) {
                const written = await store.write(sourceKey, { ...intent, baseVersion }, intentVersion);
                if (written.kind === "conflict") {
                    throw new ResultError(resultCodes.manifestRaced, "another entry published a file");
                }
                intentVersion = written.version;
            }
            try {
                await publish(manifest, baseVersion);
                return;
            }
            catch (error) {
                if (!(error instanceof ManifestConflictError)) {
                    throw error;
                }
                baseVersion = error.current?.version ?? noObject;
            }
        }
        throw new ResultError(resultCodes.manifestRaced, `not published after ${maxFileAttempts} attempts`);
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
            await clock.sleep(filePollMs, stopped.signal);
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
