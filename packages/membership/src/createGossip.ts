import { callWithTimeout } from "@auburnarch/documents/callWithTimeout";
import { drawOne } from "@auburnarch/documents/drawOne";
import { drawSome } from "@auburnarch/documents/drawSome";
import { parseMessage } from "@auburnarch/documents/parseMessage";
import type { EntryId } from "@auburnarch/types/EntryId";
import { createGossipMessages } from "./createGossipMessages.js";
import { createProbeHealth } from "./createProbeHealth.js";
import type { createRunningTime } from "./createRunningTime.js";
import type { EntryRegistry } from "./EntryRegistry.js";
import type { Gossip } from "./Gossip.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipMessageSchema } from "./gossipMessageSchema.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** Share of probes sent to suspected entries, so that two partitions discover each other again once reconnected. */
const suspectedProbeRatio = 0.1;
/** Share of probes sent to addresses of the VM list or the seeds whose entry is not known yet. */
const undiscoveredProbeRatio = 0.5;
/** Entries asked to probe one that did not answer, so that one broken link does not look like a crash. */
const indirectProbes = 2;
/** An indirect probe takes the helper's own probe timeout in addition to the round trip to the helper. */
const indirectProbeTimeoutFactor = 2.5;
/** With fewer peers, failing probes do not show which side is at fault. */
const minPeersForHealth = 4;

/** Target of a probe; the entry is unknown for an address that only the VM list or the seeds name. */
interface Target {
    address: string;
    entry: EntryId | undefined;
}

/** Creates the probing of entries. Message size is bounded regardless of the number of entries. */
export function createGossip(
    deps: Pick<MembershipDeps, "self" | "clock" | "random" | "logger" | "exchange">,
    registry: EntryRegistry,
    runningTime: ReturnType<typeof createRunningTime>,
    timing: MembershipTiming,
): Gossip {
    const { self, random } = deps;
    const ownHeartbeat: Heartbeat = { entry: self.entry, generation: deps.clock.wallMs(), counter: 0 };
    const { applyMessage, buildMessage, recordsFor } = createGossipMessages(
        deps,
        ownHeartbeat,
        registry,
        timing,
    );
    const probeHealth = createProbeHealth();

    function drawTarget(listedAddresses: () => string[]): Target | undefined {
        const views = registry.list();
        const live = views.filter(view => !view.suspected);
        if (live.length === 0 || random.nextUnit() < undiscoveredProbeRatio) {
            const known = new Set(views.map(view => view.record.address).concat(self.address));
            const address = drawOne(listedAddresses().filter(listed => !known.has(listed)), random);
            if (address !== undefined) {
                return { address, entry: undefined };
            }
        }
        const suspected = views.filter(view => view.suspected);
        const shouldProbeSuspected = live.length === 0 || random.nextUnit() < suspectedProbeRatio;
        const view = drawOne(shouldProbeSuspected && suspected.length > 0 ? suspected : live, random);
        return view === undefined ? undefined : { address: view.record.address, entry: view.record.entry };
    }

    async function send(
        address: string,
        message: GossipMessage,
        timeoutMs = timing.gossipTimeoutMs,
    ): Promise<GossipMessage | undefined> {
        const call = async (): Promise<GossipMessage> =>
            parseMessage<GossipMessage>(gossipMessageSchema, await deps.exchange(address, message));
        const outcome = await callWithTimeout(deps.clock, timeoutMs, call);
        return outcome?.answer;
    }

    /** Runs one exchange, and a second one if either side lacks records; true if answered. */
    async function probe(target: Target): Promise<boolean> {
        const answer = await send(target.address, buildMessage(target.entry, []));
        if (answer === undefined) {
            return false;
        }
        applyMessage(answer);
        const wanted = registry.listWithoutRecord(timing.recordsPerMessage);
        if (answer.wanted.length > 0 || wanted.length > 0) {
            const records = recordsFor(answer.wanted);
            const second = await send(target.address, { from: self.entry, beats: [], records, wanted });
            second?.records.filter(({ record }) => record.entry !== self.entry).forEach(registry.applyRecord);
        }
        return true;
    }

    async function probeIndirectly(helper: string, target: string): Promise<boolean> {
        const message = { ...buildMessage(undefined, []), probe: target };
        const answer = await send(helper, message, timing.gossipTimeoutMs * indirectProbeTimeoutFactor);
        return answer?.reached === true;
    }

    async function isReachable(target: Target): Promise<boolean> {
        const others = registry.list().filter(view => !view.suspected && view.record.entry !== target.entry);
        const helpers = drawSome(others, indirectProbes, random);
        const attempts = helpers.map(view => probeIndirectly(view.record.address, target.address));
        const reached = await Promise.all([probe(target), ...attempts]);
        return reached.includes(true);
    }

    async function probeOnce(listedAddresses: () => string[]): Promise<void> {
        ownHeartbeat.counter++;
        const target = drawTarget(listedAddresses);
        if (target === undefined) {
            return;
        }
        const pauses = runningTime.pauses();
        const answered = await probe(target);
        probeHealth.record(answered);
        if (answered || target.entry === undefined || registry.beat(target.entry)?.suspected === true) {
            return;
        }
        if (await isReachable(target)) {
            return;
        }
        const isOwnFault = runningTime.pauses() > pauses
            || (probeHealth.isPoor() && registry.list().length >= minPeersForHealth);
        if (!isOwnFault) {
            registry.suspect(target.entry);
        }
    }

    async function receive(message: unknown): Promise<GossipMessage> {
        const parsed = parseMessage<GossipMessage>(gossipMessageSchema, message);
        applyMessage(parsed);
        const answer = buildMessage(parsed.from, parsed.wanted);
        if (parsed.probe !== undefined) {
            answer.reached = await probe({ address: parsed.probe, entry: undefined });
        }
        return answer;
    }

    return {
        probeOnce,
        receive,
        beginLeaving: () => {
            ownHeartbeat.leaving = true;
        },
    };
}
