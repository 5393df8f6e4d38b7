import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentSet } from "@auburnarch/documents/createDocumentSet";
import { defaultDocumentSyncGuards } from "@auburnarch/documents/defaultDocumentSyncGuards";
import type { DocumentSet } from "@auburnarch/documents/DocumentSet";
import type { DocumentTransfer } from "@auburnarch/documents/DocumentTransfer";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { ChangePoint } from "./ChangePoint.js";
import { collectGarbage } from "./collectGarbage.js";
import { createFleetManifest } from "./createFleetManifest.js";
import { createSuspicionLogger } from "./createSuspicionLogger.js";

const changes = 20;
const jobs = 10;
const priorities = 10;

function createSet(): DocumentSet {
    const { logger } = createSuspicionLogger();
    const invariants = createInvariants(logger, code => {
        throw new Error(`invariant violated: ${code.name}`);
    });
    return createDocumentSet(
        { logger, invariants, faultsOf: faultsOfDocument },
        defaultDocumentSyncGuards,
        () => undefined,
    );
}

const cpuNowUs = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};

function heapNow(): number {
    collectGarbage();
    return process.memoryUsage().heapUsed;
}

/** Transfers changes of a manifest from one process to another and measures both sides. */
export function measureChange(samplers: number): ChangePoint {
    const [from, to] = [createSet(), createSet()];
    const publish = (version: number): void => {
        const value = createFleetManifest(samplers, jobs, version % priorities + 1);
        from.apply({ name: "manifest", version, value });
    };
    const cross = (transfer: DocumentTransfer): string => JSON.stringify(transfer);
    publish(1);
    const heapBefore = heapNow();
    to.applyTransfer(JSON.parse(cross(from.transfer("manifest", 0)!)) as DocumentTransfer);
    let makeUs = 0;
    let takeUs = 0;
    let transferBytes = 0;
    for (let version = 2; version < 2 + changes; version++) {
        publish(version);
        const startedUs = cpuNowUs();
        const text = cross(from.transfer("manifest", version - 1)!);
        const madeUs = cpuNowUs();
        to.applyTransfer(JSON.parse(text) as DocumentTransfer);
        takeUs += cpuNowUs() - madeUs;
        makeUs += madeUs - startedUs;
        transferBytes = text.length;
    }
    return {
        samplers,
        manifestBytes: JSON.stringify(from.get("manifest")!.value).length,
        transferBytes,
        takeCpuUs: Math.round(takeUs / changes),
        makeCpuUs: Math.round(makeUs / changes),
        // The heap grew on both sides, since the sender stores the same texts as the receiver.
        heapBytes: Math.round((heapNow() - heapBefore) / 2),
    };
}
