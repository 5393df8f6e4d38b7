import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { ServiceLimits } from "@auburnarch/routing/ServiceLimits";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { OpenItem } from "../items/OpenItem.js";
import { stepDueMs } from "../items/stepDueMs.js";
import { countPeerRuns } from "../peers/countPeerRuns.js";
import type { PeerView } from "../peers/PeerView.js";
import { versionOf } from "../weights/versionOf.js";
import { chooseRelievedSamplers } from "./chooseRelievedSamplers.js";
import { countSlots } from "./countSlots.js";
import { createLatenessLog } from "./createLatenessLog.js";
import { createPaces } from "./createPaces.js";
import { describeSteps } from "./describeSteps.js";
import { isLate } from "./isLate.js";
import type { Lateness } from "./Lateness.js";
import type { LatenessDeps } from "./LatenessDeps.js";
import { listLateness } from "./listLateness.js";
import { listOpenSteps } from "./listOpenSteps.js";
import { medianOf } from "./medianOf.js";
import type { ServicePicture } from "./ServicePicture.js";
import { shareRoom } from "./shareRoom.js";
import { smoothUsedShare } from "./smoothUsedShare.js";
import type { StepStatus } from "./StepStatus.js";
import type { TrainerLateness } from "./TrainerLateness.js";

interface Picture {
    atMs: number;
    lateness: ReadonlyMap<PolicyId, TrainerLateness>;
    ownSteps: StepStatus[];
    /** Only services where steps of late trainers get priority. */
    services: ReadonlyMap<ServiceId, ServicePicture>;
}

/** A dispatcher's round takes place every 100 ms and asks for each sampler. */
const maxPictureAgeMs = 100;
/** Assumed until any sampler of the service was observed. */
const assumedEventsPerSecond = 20;
const minPolicies = 2;
/**
 * Slots left to late trainers and relieved samplers cost up to a tenth of the slots. In a fleet that uses more than this
 * share, that would make the other trainers late as well.
 */
const maxUsedShare = 0.8;

/** Creates the priority for steps of late trainers of one runner. Everything is derived, nothing is stored. */
export function createLateness(deps: LatenessDeps): Lateness {
    const { clock, directory, samplerHealth } = deps;
    const paces = createPaces(deps);
    const log = createLatenessLog(deps);
    const usedShares = new Map<ServiceId, ReturnType<typeof smoothUsedShare>>();
    let latest: Picture | undefined;

    const services = (): ServiceLimits[] => [...deps.routing()?.services.values() ?? []];

    const serviceOf = (policy: PolicyId | undefined): ServiceId | undefined =>
        services().find(({ policies }) => policies.some(each => each === policy))?.service;

    /** A batch job is due by its submission also where another runner had it before. */
    function dueInMs({ batchJob, deadlineMs }: OpenItem): number | undefined {
        const entry = deps.entries.objects()?.get(batchJob.lot);
        return entry === undefined
            ? undefined
            : entry.submittedAtMs + (deadlineMs ?? stepDueMs) - clock.wallMs();
    }

    function describeOwn(
        lateness: ReadonlyMap<PolicyId, TrainerLateness>,
        peers: readonly PeerView[],
    ): StepStatus[] {
        const items = deps.listItems();
        const policies = new Set(items.map(({ batchJob }) => batchJob.policy));
        return [...policies].flatMap(policy => {
            const service = services().find(({ policies: own }) => own.some(each => each === policy));
            const serving = service === undefined ? [] : directory.serving(service.service);
            const paceOf = paces.list(serving, peers);
            const medianPace = medianOf([...paceOf.values()]) ?? assumedEventsPerSecond;
            return describeSteps({
                items: items.filter(({ batchJob }) => batchJob.policy === policy),
                lateness,
                dueInMs,
                fairSlots: countSlots(serving) / Math.max(1, service?.policies.length ?? 0),
                eventsPerSecond: sampler =>
                    sampler === undefined ? medianPace : paceOf.get(sampler) ?? medianPace,
            });
        });
    }

    function describeService(
        { service, policies }: ServiceLimits,
        openSteps: readonly StepStatus[],
        peers: readonly PeerView[],
    ): ServicePicture {
        const serving = directory.serving(service);
        const steps = openSteps.filter(step => policies.includes(step.policy));
        return {
            serving,
            steps,
            relieved: chooseRelievedSamplers(steps, serving.map(sampler => sampler.incarnation)),
            newestVersions: new Map(policies.map(policy => [
                policy,
                Math.max(0, ...serving.map(sampler => versionOf(sampler, policy))),
            ])),
            eventsPerSecond: paces.list(serving, peers),
        };
    }

    /** Records how many slots of each service are in use, by all runners together. */
    function recordUse(peers: PeerView[], nowMs: number): void {
        for (const { service } of services()) {
            const serving = directory.serving(service);
            const slots = countSlots(serving);
            const runsAt = ({ incarnation }: RegisteredSampler): number =>
                samplerHealth.running(incarnation) + countPeerRuns(incarnation, peers);
            const used = serving.reduce((sum, sampler) => sum + runsAt(sampler), 0);
            if (slots > 0) {
                usedShares.set(service, smoothUsedShare(usedShares.get(service), used / slots, nowMs));
            }
        }
    }

    function refresh(): Picture {
        const atMs = clock.monotonicMs();
        if (latest !== undefined && atMs - latest.atMs < maxPictureAgeMs) {
            return latest;
        }
        const peers = deps.peers();
        recordUse(peers, atMs);
        const lateness = listLateness(deps.entries.objects()?.values() ?? [], clock.wallMs());
        const ownSteps = describeOwn(lateness, peers);
        const openSteps = listOpenSteps(ownSteps, peers);
        const active = services().filter(({ service, policies }) =>
            policies.length >= minPolicies
            && policies.some(policy => isLate(lateness.get(policy)))
            && (usedShares.get(service)?.share ?? 0) <= maxUsedShare
        );
        latest = {
            atMs,
            lateness,
            ownSteps,
            services: new Map(
                active.map(each => [each.service, describeService(each, openSteps, peers)]),
            ),
        };
        log.recordLateness(lateness, ownSteps);
        return latest;
    }

    function pictureOf(policy: PolicyId): ServicePicture | undefined {
        const { services: active } = refresh();
        const service = active.size === 0 ? undefined : serviceOf(policy);
        return service === undefined ? undefined : active.get(service);
    }

    const teamOf = (lot: BatchJobId): string => deps.entries.objects()?.get(lot)?.team ?? "";

    deps.entries.onChange(() => {
        latest = undefined;
        refresh();
    });
    return {
        status: () => ({ steps: refresh().ownSteps, paces: paces.observed() }),
        latenessMs: policy => {
            const known = pictureOf(policy) === undefined ? undefined : refresh().lateness.get(policy);
            return known !== undefined && isLate(known) ? known.latenessMs : 0;
        },
        adjustRoom: (policy, sampler, use) => {
            const picture = pictureOf(policy);
            if (picture === undefined) {
                return use.room;
            }
            const { room, yields } = shareRoom({ ...use, policy, sampler, picture, teamOf });
            if (yields !== undefined) {
                log.recordYield(yields.own, yields.to);
            }
            return room;
        },
        eventsPerSecond: sampler => {
            const service = directory.find(sampler)?.service;
            const picture = service === undefined ? undefined : refresh().services.get(service);
            return picture === undefined
                ? samplerHealth.eventsPerSecond(sampler)
                : picture.eventsPerSecond.get(sampler);
        },
    };
}
