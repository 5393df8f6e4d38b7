import { isConvicted } from "@auburnarch/admission/isConvicted";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { digestRequest } from "@auburnarch/entry/digestRequest";
import type { OwnerStatus } from "@auburnarch/ownership/OwnerStatus";
import { initialConfigWaitMs } from "@auburnarch/sidecar/initialConfigWaitMs";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import { createPoisonRequest } from "../createPoisonRequest.js";
import type { RunParts } from "../RunParts.js";
import type { SamplerNode } from "../SamplerNode.js";
import { judgeServed } from "./judgeServed.js";

const manifestKey = "config/manifest";
const askMs = 1_000;
/** Without word from an entry a sidecar takes work after this time. */
const startMs = initialConfigWaitMs + 150;
/** A process that has just started hears of the manifest and the quarantine within this time. */
const learnMs = 2_000;

/** The judgements that need a settled system: liveness, usage, configuration. */
export async function judgeRun(parts: RunParts, isOver: boolean): Promise<void> {
    const { world, trainer, entries } = parts;
    const { violations, storeControl } = world;
    const { report } = trainer.trainer;

    report.problems.forEach(problem => violations.add(problem.split(" ")[0]!, problem));
    judgeQuarantine();
    if (!isOver) {
        violations.add("notFinished", `${report.stepsDone} steps, caller ${parts.caller.isFinished()}`);
        return;
    }
    judgeConfig();
    if (!await judgeServed(parts)) {
        return;
    }
    await judgeUsage();
    await probePoison();

    /**
     * Nothing may be refused for what a killing content did. A content that was in flight at two crashes of other
     * causes is not judged here but by `judgeServed`.
     */
    function judgeQuarantine(): void {
        const stored = storeControl.peek("quarantine") as { records: QuarantineRecord[]; } | undefined;
        const convicted = (stored?.records ?? []).filter(record =>
            isConvicted(record, world.clock.wallMs(), stored!.records)
        );
        const innocent = convicted.filter(record =>
            !parts.poisonDigests.has(record.digest)
            && record.deaths.every(world.isPoisonDeath)
        );
        if (innocent.length > 0) {
            violations.add("bystanderConvicted", `${innocent.length} of ${convicted.length}`);
        }
    }

    /** Whether the node's sidecar has run for long enough to have heard of what is known everywhere. */
    function hasLearned(node: SamplerNode): boolean {
        const sidecar = node.sidecar();
        return sidecar !== undefined && sidecar.startedAtMs < world.clock.monotonicMs() - learnMs;
    }

    /** Sends the content through every entry that is awake, and straight to the sidecars if `direct`; true if it ran. */
    async function sendPoison(prompt: string, direct: boolean): Promise<boolean> {
        const before = world.poison().get(prompt)!.runs;
        const request = createPoisonRequest(prompt);
        const { signal } = new AbortController();
        const awake = entries.filter(entry => entry.running()?.process.isPaused() === false);
        awake.forEach(entry =>
            void entry.enter(present => present.call(request, signal)).catch(() => undefined)
        );
        const plain = { ...request, idempotent: true, digest: digestRequest(request), budgetMs: askMs };
        const targets = direct ? parts.models.map(({ node }) => node.port()) : [];
        targets.forEach(port =>
            void port.callPlain({ ...plain, attempt: world.random.nextId() as AttemptId }, signal)
        );
        const hasRun = (): boolean => world.poison().get(prompt)!.runs > before;
        await world.clock.runUntil(hasRun, askMs);
        return hasRun();
    }

    /** Sidecars that were started again and cannot reach an entry know no list, and take work all the same. */
    async function forgetAtSidecars(): Promise<void> {
        for (const { node } of parts.models) {
            entries.forEach(entry => world.network.cut(`${node.name}#reports`, entry.name));
            node.killSidecar();
            node.startSidecar();
        }
        await world.clock.runUntil(() => false, startMs);
    }

    /** What has killed engines on two VMs is refused by sidecars whatever entry sends it, and by every entry. */
    async function probePoison(): Promise<void> {
        const killers = [...world.poison()].filter(([, { vms }]) => vms.size > 1).map(([prompt]) => prompt);
        for (const prompt of killers) {
            if (await sendPoison(prompt, true)) {
                violations.add("poisonRanAgain", `${prompt} at a sidecar`);
                return;
            }
        }
        // The sidecars know no list from here on, so this comes after all the probes that ask them.
        await forgetAtSidecars();
        for (const prompt of killers) {
            if (await sendPoison(prompt, false)) {
                violations.add("poisonRanAgain", `${prompt} through an entry`);
            }
        }
    }

    function judgeConfig(): void {
        const manifest = storeControl.peek(manifestKey);
        if (validateManifest(manifest).kind === "invalid") {
            return;
        }
        const versions = [...parts.models.map(model => model.node), ...parts.plains.map(plain => plain.node)]
            .filter(hasLearned)
            .map(node => node.gate()!.report().configVersion);
        if (new Set(versions).size !== 1) {
            violations.add("configNotEverywhere", versions.join());
        }
    }

    async function judgeUsage(): Promise<void> {
        const awake = entries.filter(entry => entry.running()?.process.isPaused() === false);
        const owner = awake.find(entry => entry.ownedFencing() !== undefined);
        const asked = owner?.receive("jobStatus", { job: "plume" }).catch(() => undefined);
        let status: OwnerStatus | undefined;
        void asked?.then(answer => {
            status = answer as OwnerStatus | undefined;
        });
        await world.clock.runUntil(() => status !== undefined, askMs);
        const delivered = Math.round(status?.deliveredEngineMs ?? -1);
        if (delivered !== Math.round(report.engineMs)) {
            violations.add(
                "usageWrong",
                `delivered ${delivered}, trainer took ${Math.round(report.engineMs)}`,
            );
        }
    }
}
