import { digestRequest } from "@auburnarch/entry/digestRequest";
import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import { attemptRetentionMs } from "@auburnarch/types/attemptRetentionMs";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { createCrashRequest } from "./createCrashRequest.js";
import { createManifest } from "./createManifest.js";
import type { EntryNode } from "./EntryNode.js";
import type { FaultKind } from "./FaultKind.js";
import { injectStoreFault } from "./injectStoreFault.js";
import { maxQueuedPerTeam } from "./maxQueuedPerTeam.js";
import type { NetworkFault } from "./NetworkFault.js";
import type { RunParts } from "./RunParts.js";
import type { SamplerNode } from "./SamplerNode.js";

const policy = "plume" as PolicyId;
/**
 * Sidecars keep finished attempts in two halves and drop the older half when an attempt finishes after this time, so
 * that two such periods drop all of them.
 */
const attemptForgetMs = attemptRetentionMs + 2_000;
const freezeMs = 2 * attemptForgetMs + 2_000;
/** More than a plain sampler can run and queue. */
const burstRequests = 90;
/** Number of requests that a plain sampler runs at once; the others wait past their deadline. */
const burstRunning = 64;
const burstCheckMs = 10;
/** Long enough for a takeover of key ranges followed by twice the largest clock skew. */
const longCutMs = 17_000;
const ownerCheckMs = 250;
/** Longer than entries remember an idempotency key. */
const pauseAllMs = 605_000;
/** After the call was carried out, but before its sender queries the outcome. */
const afterLostAnswerMs = 250;
/** Another entry owns an entry's key ranges this long after the entry was killed. */
const takeoverMs = 10_500;
/** Leaves time to answer the requests before all processes are paused. */
const beforePauseAllMs = 400;
const storeCutMs = 3_000;
const manifestKey = "config/manifest";

function pickOne<T>(parts: RunParts, from: readonly T[]): T | undefined {
    return from.length === 0 ? undefined : from[parts.simulation.random.nextInt(from.length)];
}

/** Draws a duration between two bounds. */
function drawMs(parts: RunParts, minMs: number, maxMs: number): number {
    return minMs + parts.simulation.random.nextUnit() * (maxMs - minMs);
}

const plainNodes = (parts: RunParts): SamplerNode[] => parts.plains.map(plain => plain.node);

const findOwner = (parts: RunParts): EntryNode | undefined =>
    parts.entries.find(entry => entry.ownedFencing() !== undefined);

/** Injects a fault into the next exchange from a random entry to a random sidecar, model or plain. */
function failSidecarCall(parts: RunParts, kind: FaultKind, fault: NetworkFault): void {
    const targets = [...parts.models.map(model => model.node), ...plainNodes(parts), ...plainNodes(parts)];
    const target = pickOne(parts, targets)!;
    const from = pickOne(parts, parts.entries)!;
    parts.simulation.network.failNext(fault, target.name, from.name, () => parts.countFault(kind));
}

function restartLater(parts: RunParts, entry: EntryNode): void {
    parts.simulation.clock.startTimer(drawMs(parts, 500, 8_000), entry.start);
}

function killOwner(parts: RunParts): void {
    const owner = findOwner(parts);
    if (owner !== undefined) {
        owner.kill();
        parts.countFault("ownerKill");
        restartLater(parts, owner);
    }
}

function pauseOwner(parts: RunParts): void {
    const owner = findOwner(parts);
    const running = owner?.running();
    if (running !== undefined && !running.process.isPaused()) {
        running.process.pause();
        parts.countFault("ownerPause");
        parts.simulation.clock.startTimer(drawMs(parts, 5_000, 8_000), running.process.resume);
    }
}

/**
 * Restarts a sampler with old weights and without access to the object API: both current owners order it to swap, and
 * its sidecar cannot read which of them holds the lease.
 */
function restartSampler(parts: RunParts): void {
    const model = pickOne(parts, parts.models)!;
    model.node.killSidecar();
    model.control().crash();
    model.control().restart([{ policy, version: 0 as WeightVersion }]);
    parts.simulation.network.cut(model.node.name, "store");
    parts.simulation.clock.startTimer(
        storeCutMs,
        () => parts.simulation.network.heal(model.node.name, "store"),
    );
    parts.simulation.clock.startTimer(drawMs(parts, 20, 400), model.node.startSidecar);
}

/** Sends requests with new keys, each several times and through randomly picked entries. */
function sendRepeatedly(parts: RunParts, count: number): void {
    for (let sent = 0; sent < count; sent++) {
        void parts.caller.sendOne(false, 3);
    }
}

/**
 * Partitions the owner from the object API, so that another entry takes over while the owner still runs and is
 * reachable.
 */
function makeTwoOwners(parts: RunParts): void {
    const { network, clock, random } = parts.simulation;
    const owner = findOwner(parts);
    if (owner === undefined || network.isCut(owner.name, "store")) {
        return;
    }
    const number = owner.ownedFencing();
    const isLong = random.nextUnit() < 0.3;
    const durationMs = isLong ? longCutMs : drawMs(parts, 5_000, 8_000);
    network.cut(owner.name, "store");
    parts.delayHealing(durationMs);
    clock.startTimer(durationMs, () => network.heal(owner.name, "store"));
    if (isLong) {
        // By then new keys may be run only by the newer owner of their range.
        clock.startTimer(durationMs - 1_500, () => sendRepeatedly(parts, 6));
    }
    function check(): void {
        const others = parts.entries.filter(entry => entry !== owner && entry.ownedFencing() !== undefined);
        if (others.length > 0 && owner?.ownedFencing() === number) {
            parts.countFault("twoOwners");
            restartSampler(parts);
        }
        else if (network.isCut(owner!.name, "store")) {
            clock.startTimer(ownerCheckMs, check);
        }
    }
    check();
}

function reorderMessages(parts: RunParts): void {
    const { network, clock } = parts.simulation;
    parts.countFault("disorder");
    network.setReordering(drawMs(parts, 100, 700));
    clock.startTimer(drawMs(parts, 1_000, 3_000), () => network.setReordering(0));
}

function crashEngine(parts: RunParts): void {
    const model = pickOne(parts, parts.models)!;
    if (model.control().isUp()) {
        model.control().crash();
        parts.countFault("engineCrash");
    }
}

/** Changes the engine's weights without an order, either in place or by a restart. */
function changeWeights(parts: RunParts): void {
    const model = pickOne(parts, parts.models)!;
    const control = model.control();
    const published = parts.trainer.trainer.publishedVersion();
    const other = Math.max(0, published - 3 + parts.simulation.random.nextInt(3)) as WeightVersion;
    if (!control.isUp()) {
        return;
    }
    parts.countFault("engineOtherWeights");
    if (parts.simulation.random.nextUnit() < 0.5) {
        control.setServedVersion(policy, other);
    }
    else {
        control.crash();
        control.restart([{ policy, version: other }]);
    }
}

function failSwap(parts: RunParts): void {
    const model = pickOne(parts, parts.models)!;
    const outcome = (["old", "new"] as const)[parts.simulation.random.nextInt(2)]!;
    const published = parts.trainer.trainer.publishedVersion();
    const served = parts.simulation.random.nextUnit() < 0.4
        ? Math.max(0, published - 2) as WeightVersion
        : outcome;
    parts.countFault("swapFails");
    model.control().failNextLoad(served);
}

/** Kills a sidecar, half of the time after a call whose answer was lost, so that its outcome can't be queried. */
function killSidecar(parts: RunParts): void {
    const { network, clock, random } = parts.simulation;
    const node = pickOne(parts, [...parts.models.map(model => model.node), ...plainNodes(parts)])!;
    function kill(): void {
        if (node.sidecarProcess() !== undefined) {
            node.killSidecar();
            parts.countFault("sidecarKill");
            clock.startTimer(drawMs(parts, 50, 1_500), node.startSidecar);
        }
    }
    if (random.nextUnit() < 0.5) {
        kill();
        return;
    }
    network.failNext("answerLost", node.name, undefined, () =>
        clock.startTimer(afterLostAnswerMs, () => {
            node.killSidecar();
            parts.countFault("sidecarKill");
            node.startSidecar();
        }));
}

/** Makes a VM leave, and for a while keeps its sidecar's reports from reaching one of the entries. */
function leaveVm(parts: RunParts): void {
    const { network, clock } = parts.simulation;
    const node = pickOne(parts, [...parts.models.map(model => model.node), ...plainNodes(parts)])!;
    if (node.sidecarProcess() === undefined) {
        return;
    }
    parts.countFault("vmLeaving");
    node.leave(drawMs(parts, 4_000, 6_000));
    const entry = pickOne(parts, parts.entries)!;
    clock.startTimer(drawMs(parts, 1_800, 2_600), () => network.cut(`${node.name}#reports`, entry.name));
    clock.startTimer(drawMs(parts, 5_000, 7_000), () => network.heal(`${node.name}#reports`, entry.name));
}

function shutDownEntry(parts: RunParts): void {
    const entry = pickOne(parts, parts.entries.filter(each => each.running() !== undefined));
    const others = parts.entries.filter(each => each !== entry && each.running() !== undefined);
    if (entry === undefined || others.length === 0 || entry.running()!.process.isPaused()) {
        return;
    }
    parts.countFault("entryShutdown");
    void entry.shutDown(3_000).then(() => restartLater(parts, entry));
}

/** Shuts a sidecar down, half of the time immediately before an order arrives. */
function shutDownSidecar(parts: RunParts): void {
    const node = pickOne(parts, [...parts.models.map(model => model.node), ...plainNodes(parts)])!;
    function shutDown(): void {
        if (node.sidecarProcess() !== undefined && node.sidecarProcess()?.shutdownAtMs === undefined) {
            parts.countFault("sidecarShutdown");
            void node.shutDown(2_000);
        }
    }
    if (parts.simulation.random.nextUnit() < 0.5) {
        shutDown();
        return;
    }
    node.beforeNextOrder(shutDown);
}

/** Sends a crash-inducing request several times under new ids. */
async function sendCrashRequests(parts: RunParts): Promise<void> {
    const { clock } = parts.simulation;
    const request = createCrashRequest(parts.nextCrashPrompt());
    parts.crashRequestDigests.add(digestRequest(request));
    for (let sent = 0; sent < 4; sent++) {
        const entry = pickOne(parts, parts.entries)!;
        const crashes = (): number => parts.models.reduce((sum, model) => sum + model.control().crashes(), 0);
        const before = crashes();
        const call = entry.enter(present => present.call(request, new AbortController().signal));
        await Promise.race([call.catch(() => undefined), clock.sleep(1_500)]);
        if (crashes() > before) {
            parts.countFault("poisonRequest");
        }
        await clock.sleep(700);
    }
}

/**
 * Two operators publish against the same version; only one may succeed. In some runs a third one publishes an invalid
 * manifest.
 */
async function raceOperators(parts: RunParts): Promise<void> {
    const { store, random, violations } = parts.simulation;
    parts.countFault("operatorsRace");
    const current = await store.read(manifestKey).catch(() => undefined);
    const expected = current?.version ?? 0 as ObjectVersion;
    const manifests = [createManifest(random.nextInt(1_000)), createManifest(1_000 + random.nextInt(1_000))];
    if (random.nextUnit() < 0.3) {
        manifests.push({ ...createManifest(0), teams: [] });
    }
    const outcomes = await Promise.all(
        manifests.map(manifest => store.write(manifestKey, manifest, expected).catch(() => undefined)),
    );
    if (outcomes.filter(outcome => outcome?.kind === "written").length > 1) {
        violations.add("configReverted", "two operators won against one version");
    }
}

function partitionEntry(parts: RunParts): void {
    const { network, clock } = parts.simulation;
    const entry = pickOne(parts, parts.entries)!;
    const nodes = [...parts.models.map(model => model.node), ...plainNodes(parts)]
        .filter(() => parts.simulation.random.nextUnit() < 0.5);
    parts.countFault("entrySidecarPartition");
    nodes.forEach(node => network.cut(entry.name, node.name));
    clock.startTimer(drawMs(parts, 1_000, 5_000), () => {
        nodes.forEach(node => network.heal(entry.name, node.name));
    });
}

/**
 * Sends a non-idempotent request several times. Either the sidecar's answer is lost, or the entry's answer is lost, the
 * entry is killed, and the request is resent once another entry owns its key range.
 */
function resendNonIdempotent(parts: RunParts): void {
    const { network, random, clock } = parts.simulation;
    if (random.nextUnit() < 0.5) {
        const target = pickOne(parts, plainNodes(parts))!;
        network.failNext("answerLost", target.name, undefined, () => parts.countFault("nonIdempotentResend"));
        sendRepeatedly(parts, 1);
        return;
    }
    const entry = pickOne(parts, parts.entries)!;
    const other = parts.entries.find(each => each !== entry);
    network.failNext("answerLost", entry.name, "caller", () => {
        if (other?.running()?.process.isPaused() === false) {
            clock.startTimer(afterLostAnswerMs, () => {
                parts.countFault("nonIdempotentResend");
                entry.kill();
                restartLater(parts, entry);
            });
        }
    });
    for (let sent = 0; sent < 3; sent++) {
        void parts.caller.sendOne(false, 2, takeoverMs);
    }
}

/**
 * Pauses an entry for longer than sidecars remember attempts, immediately after an answer to one of its requests was
 * lost.
 */
function freezeSender(parts: RunParts): void {
    const { network, clock, random } = parts.simulation;
    if (random.nextUnit() < 0.3) {
        pauseAll(parts);
        return;
    }
    const entry = pickOne(parts, parts.entries)!;
    const target = pickOne(parts, plainNodes(parts))!;
    network.failNext("answerLost", target.name, entry.name, () => {
        const running = entry.running();
        const others = parts.entries.filter(each => each !== entry);
        const isOtherRunning = others.some(each => each.running()?.process.isPaused() === false);
        if (running !== undefined && !running.process.isPaused() && isOtherRunning && !parts.isFrozen()) {
            parts.countFault("senderFreeze");
            running.process.pause();
            parts.recordFrozen(freezeMs);
            clock.startTimer(freezeMs, running.process.resume);
            clock.startTimer(attemptForgetMs, () => sendDirectly(parts, target, 1_000));
            clock.startTimer(2 * attemptForgetMs, () => sendDirectly(parts, target, 1_000));
        }
    });
    sendRepeatedly(parts, 2);
}

/** Pauses all processes for longer than entries remember keys; requests from before the pause are resent after it. */
function pauseAll(parts: RunParts): void {
    const { clock } = parts.simulation;
    const listProcesses = (): (TestProcess | undefined)[] => {
        const nodes = [...parts.models.map(model => model.node), ...plainNodes(parts)];
        return [...parts.entries.map(entry => entry.running()), ...nodes.map(node => node.sidecarProcess())]
            .map(each => each?.process);
    };
    const areAllRunning = (): boolean =>
        listProcesses().every(process => process !== undefined && !process.isPaused());
    if (parts.isFrozen() || !areAllRunning()) {
        return;
    }
    parts.countFault("senderFreeze");
    for (let sent = 0; sent < 4; sent++) {
        void parts.caller.sendOne(false, 2, pauseAllMs + 4_000);
    }
    clock.startTimer(beforePauseAllMs, () => {
        if (!areAllRunning()) {
            parts.caller.resendNow();
            return;
        }
        const processes = listProcesses();
        processes.forEach(process => process!.pause());
        parts.recordFrozen(0);
        parts.delayHealing(pauseAllMs + 1_000);
        clock.startTimer(pauseAllMs, () => processes.forEach(process => process!.resume()));
    });
}

/** Sends a request on behalf of another entry of the fleet that is not simulated. */
function sendDirectly(parts: RunParts, node: SamplerNode, budgetMs: number): void {
    const { simulation } = parts;
    const request: PlainRequest = {
        attempt: simulation.random.nextId() as AttemptId,
        service: "tiles" as ServiceId,
        team: "humoboira" as TeamId,
        method: "GET",
        path: "/tiles/other",
        headers: {},
        body: new Uint8Array(),
        idempotent: true,
        digest: "other" as ContentDigest,
        budgetMs,
    };
    const { signal } = new AbortController();
    const call = (): ReturnType<SidecarPort["callPlain"]> => node.port().callPlain(request, signal);
    void simulation.network.exchange("other-entry", node.name, call).catch(() => undefined);
}

/** Sends many requests to one sampler at once; its reported queue must stay within the limit. */
function burst(parts: RunParts): void {
    const { simulation } = parts;
    const plain = pickOne(parts, parts.plains)!;
    if (plain.node.sidecarProcess() === undefined) {
        return;
    }
    parts.countFault("requestBurst");
    plain.setLatencyMs(400);
    simulation.clock.startTimer(1_000, () => plain.setLatencyMs(20));
    for (let sent = 0; sent < burstRequests; sent++) {
        sendDirectly(parts, plain.node, sent < burstRunning ? 2_000 : 300);
    }
    simulation.clock.startTimer(burstCheckMs, () => {
        const report = plain.node.sidecar()?.report();
        const waiting = report?.waiting ?? 0;
        // A sidecar without a manifest does not know the manifest's limit.
        if (report?.configVersion !== 0 && waiting > maxQueuedPerTeam) {
            simulation.violations.add("queueUnbounded", `${plain.node.name}: ${waiting} waiting`);
        }
    });
}

/** Publishes several versions in quick succession, half of the time with a late order for the first. */
function publishBurst(parts: RunParts): void {
    const { network, random } = parts.simulation;
    const count = 2 + random.nextInt(2);
    parts.trainer.publishMore(count, () => {
        parts.countFault("publishBurst");
        if (random.nextUnit() < 0.5) {
            network.failNext("requestLate", pickOne(parts, parts.models)!.node.name);
        }
    });
}

/** Injects one fault of the kind if there is a target for it. */
export function injectFault(parts: RunParts, kind: FaultKind): void {
    const injectors: Record<FaultKind, () => void> = {
        ownerKill: () => killOwner(parts),
        ownerPause: () => pauseOwner(parts),
        twoOwners: () => makeTwoOwners(parts),
        storeOutage: () => injectStoreFault(parts, "storeOutage"),
        storeSlow: () => injectStoreFault(parts, "storeSlow"),
        storeAnswerLost: () => injectStoreFault(parts, "storeAnswerLost"),
        storeStaleRead: () => injectStoreFault(parts, "storeStaleRead"),
        cutBeforeSend: () => failSidecarCall(parts, "cutBeforeSend", "noConnection"),
        cutAfterSend: () => failSidecarCall(parts, "cutAfterSend", "answerLost"),
        lateArrival: () => failSidecarCall(parts, "lateArrival", lateFault(parts)),
        disorder: () => reorderMessages(parts),
        engineCrash: () => crashEngine(parts),
        engineOtherWeights: () => changeWeights(parts),
        swapFails: () => failSwap(parts),
        sidecarKill: () => killSidecar(parts),
        vmLeaving: () => leaveVm(parts),
        entryShutdown: () => shutDownEntry(parts),
        sidecarShutdown: () => shutDownSidecar(parts),
        poisonRequest: () => void sendCrashRequests(parts),
        trainerAnswerLost: () => parts.trainer.loseAnswers(2, () => parts.countFault("trainerAnswerLost")),
        operatorsRace: () => void raceOperators(parts),
        entrySidecarPartition: () => partitionEntry(parts),
        nonIdempotentResend: () => resendNonIdempotent(parts),
        senderFreeze: () => freezeSender(parts),
        requestBurst: () => burst(parts),
        publishBurst: () => publishBurst(parts),
        spoiltAnswer: () => parts.simulation.corruptNextAnswer(() => parts.countFault("spoiltAnswer")),
        hostileCursor: () => parts.trainer.forgeNextCursor(() => parts.countFault("hostileCursor")),
    };
    injectors[kind]();
}

function lateFault(parts: RunParts): NetworkFault {
    return parts.simulation.random.nextUnit() < 0.7 ? "requestLate" : "requestTwice";
}
