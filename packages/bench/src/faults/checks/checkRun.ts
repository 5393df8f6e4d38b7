import { isConvicted } from "@auburnarch/admission/isConvicted";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { digestRequest } from "@auburnarch/entry/digestRequest";
import type { OwnerStatus } from "@auburnarch/ownership/OwnerStatus";
import { initialConfigWaitMs } from "@auburnarch/sidecar/initialConfigWaitMs";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { createCrashRequest } from "../createCrashRequest.js";
import type { RunParts } from "../RunParts.js";
import type { SamplerNode } from "../SamplerNode.js";
import { checkPromptsServed } from "./checkPromptsServed.js";

const manifestKey = "config/manifest";
const requestTimeoutMs = 1_000;
/** A sidecar that reaches no entry accepts work after this time. */
const sidecarStartMs = initialConfigWaitMs + 150;
/** A newly started process receives the manifest and the quarantine within this time. */
const propagationMs = 2_000;

/** Performs the checks that need a settled system: liveness, usage, configuration, quarantine. */
export async function checkRun(parts: RunParts, isOver: boolean): Promise<void> {
    const { simulation, trainer, entries } = parts;
    const { violations, storeControl } = simulation;
    const { report } = trainer.trainer;

    report.problems.forEach(problem => violations.add(problem.split(" ")[0]!, problem));
    checkQuarantine();
    if (!isOver) {
        violations.add("notFinished", `${report.stepsDone} steps, caller ${parts.caller.isFinished()}`);
        return;
    }
    checkConfig();
    if (!await checkPromptsServed(parts)) {
        return;
    }
    await checkUsage();
    await probeCrashRequests();

    /**
     * No content may be quarantined for crashes that crash-inducing requests caused. Contents that were in flight at
     * crashes with other causes are checked by `checkPromptsServed`.
     */
    function checkQuarantine(): void {
        const stored = storeControl.peek("quarantine") as { records: QuarantineRecord[]; } | undefined;
        const convicted = (stored?.records ?? []).filter(record =>
            isConvicted(record, simulation.clock.wallMs(), stored!.records)
        );
        const innocent = convicted.filter(record =>
            !parts.crashRequestDigests.has(record.digest)
            && record.deaths.every(simulation.isInducedCrash)
        );
        if (innocent.length > 0) {
            violations.add("bystanderConvicted", `${innocent.length} of ${convicted.length}`);
        }
    }

    /** Whether the node's sidecar has run for long enough to have received what is known everywhere. */
    function hasReceivedState(node: SamplerNode): boolean {
        const sidecar = node.sidecarProcess();
        return sidecar !== undefined && sidecar.startedAtMs < simulation.clock.monotonicMs() - propagationMs;
    }

    /** Sends the request through every running entry, and directly to the sidecars if `direct`; true if it ran. */
    async function sendCrashRequest(prompt: string, direct: boolean): Promise<boolean> {
        const before = simulation.crashRequests().get(prompt)!.runs;
        const request = createCrashRequest(prompt);
        const { signal } = new AbortController();
        const runningEntries = entries.filter(entry => entry.running()?.process.isPaused() === false);
        runningEntries.forEach(entry =>
            void entry.enter(present => present.call(request, signal)).catch(() => undefined)
        );
        const plain = {
            ...request,
            idempotent: true,
            digest: digestRequest(request),
            budgetMs: requestTimeoutMs,
        };
        const targets = direct ? parts.models.map(({ node }) => node.port()) : [];
        targets.forEach(port =>
            void port.callPlain({ ...plain, attempt: simulation.random.nextId() as AttemptId }, signal)
        );
        const hasRun = (): boolean => simulation.crashRequests().get(prompt)!.runs > before;
        await simulation.clock.runUntil(hasRun, requestTimeoutMs);
        return hasRun();
    }

    /** Restarts the sidecars without a connection to the entries: they know no quarantine list but accept work. */
    async function restartIsolatedSidecars(): Promise<void> {
        for (const { node } of parts.models) {
            entries.forEach(entry => simulation.network.cut(`${node.name}#reports`, entry.name));
            node.killSidecar();
            node.startSidecar();
        }
        await simulation.clock.runUntil(() => false, sidecarStartMs);
    }

    /**
     * A request that crashed engines on two VMs must be refused by sidecars, whichever entry sends it, and by all
     * entries.
     */
    async function probeCrashRequests(): Promise<void> {
        const prompts = [...simulation.crashRequests()].filter(([, { vms }]) => vms.size > 1).map((
            [prompt],
        ) => prompt);
        for (const prompt of prompts) {
            if (await sendCrashRequest(prompt, true)) {
                violations.add("poisonRanAgain", `${prompt} at a sidecar`);
                return;
            }
        }
        // From here on the sidecars know no quarantine list, so this follows all probes of the sidecars.
        await restartIsolatedSidecars();
        for (const prompt of prompts) {
            if (await sendCrashRequest(prompt, false)) {
                violations.add("poisonRanAgain", `${prompt} through an entry`);
            }
        }
    }

    function checkConfig(): void {
        const manifest = storeControl.peek(manifestKey);
        if (validateManifest(manifest).kind === "invalid") {
            return;
        }
        const versions = [...parts.models.map(model => model.node), ...parts.plains.map(plain => plain.node)]
            .filter(hasReceivedState)
            .map(node => node.sidecar()!.report().configVersion);
        if (new Set(versions).size !== 1) {
            violations.add("configNotEverywhere", versions.join());
        }
    }

    async function checkUsage(): Promise<void> {
        const runningEntries = entries.filter(entry => entry.running()?.process.isPaused() === false);
        const owner = runningEntries.find(entry => entry.ownedFencing() !== undefined);
        const asked = owner?.receive("jobStatus", { job: "plume" }).catch(() => undefined);
        let status: OwnerStatus | undefined;
        void asked?.then(answer => {
            status = answer as OwnerStatus | undefined;
        });
        await simulation.clock.runUntil(() => status !== undefined, requestTimeoutMs);
        const delivered = Math.round(status?.deliveredEngineMs ?? -1);
        if (delivered !== Math.round(report.engineMs)) {
            violations.add(
                "usageWrong",
                `delivered ${delivered}, trainer took ${Math.round(report.engineMs)}`,
            );
        }
    }
}
