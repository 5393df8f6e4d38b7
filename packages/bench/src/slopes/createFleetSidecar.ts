import { faultsOfDocument } from "@auburnarch/config/faultsOfDocument";
import { createDocumentFollower } from "@auburnarch/documents/createDocumentFollower";
import { createReporter } from "@auburnarch/membership/createReporter";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { FleetCommon } from "./FleetCommon.js";

/** The control components of a sidecar. */
interface FleetSidecar {
    manifestVersion(): number;
    stop(): void;
}

/** Starts the reporter of one sidecar; its report is as large as that of a busy model sampler. */
export function createFleetSidecar(
    deps: FleetCommon & { at: number; domains: number; regions: number; },
): FleetSidecar {
    const { at, network } = deps;
    const domain = at % deps.domains;
    const region = `region-${domain % deps.regions}`;
    const follower = createDocumentFollower({ ...deps, faultsOf: faultsOfDocument }, () => undefined);
    const manifestVersion = (): number => follower.get("manifest")?.version ?? 0;
    const incarnation = deps.random.nextId();
    let sequence = 0;
    const report = (): SamplerReport => ({
        sampler: `rollout-${at}`,
        vm: `rollout-vm-${at}`,
        incarnation,
        sequence: ++sequence,
        address: `http://10.1.${at >> 8}.${at & 255}:7401`,
        failureDomain: `place-${domain}`,
        region,
        service: "rollouts",
        state: "ready",
        served: [{ policy: `policy-${at % 10}`, version: 41 }],
        running: 24,
        waiting: 3,
        limit: 26.5,
        tokensPerSecond: 71.25,
        maxBatch: 64,
        configVersion: manifestVersion(),
        suspects: [],
    } as unknown as SamplerReport);
    const reporter = createReporter({
        ...deps,
        sampler: `rollout-${at}` as SamplerId,
        report,
        digest: follower.digest,
        wholeDocuments: follower.wholeDocuments,
        onDocuments: follower.receive,
        onLeaving: () => undefined,
        seeds: [],
        exchange: (address, message) => network.call({ role: "sidecar", region }, address, "report", message),
    });
    reporter.start();
    return { manifestVersion, stop: reporter.stop };
}
