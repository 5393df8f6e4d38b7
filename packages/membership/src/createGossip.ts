import { callWithTimeout } from "@auburnarch/documents/callWithTimeout";
import { drawOne } from "@auburnarch/documents/drawOne";
import { drawSome } from "@auburnarch/documents/drawSome";
import { parseMessage } from "@auburnarch/documents/parseMessage";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { createAwakeTime } from "./createAwakeTime.js";
import { createGossipMessages } from "./createGossipMessages.js";
import { createProbeHealth } from "./createProbeHealth.js";
import type { EntryRegistry } from "./EntryRegistry.js";
import type { Gossip } from "./Gossip.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipMessageSchema } from "./gossipMessageSchema.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** Part of the probes that go to a suspected entry, so that two halves find each other again after a cut. */
const suspectedProbeRatio = 0.1;
/** Part of the probes that go to an address of the VM list or the seeds whose entry is not known yet. */
const undiscoveredProbeRatio = 0.5;
/** Entries asked to probe one that did not answer: a broken link between two must not look like a death. */
const indirectProbes = 2;
/** A helper needs its own timeout on top of the way there and back. */
const indirectProbeTimeoutFactor = 2.5;
/** With fewer peers than these, failing probes say nothing about which side is at fault. */
const minPeersForHealth = 4;

/** Where a probe goes; the entry is not known for an address that only the VM list names. */
interface Target {
    address: string;
    entry: EntryId | undefined;
}

/** Makes the probing of entries. Messages are of bounded size whatever the number of entries. */
export function createGossip(
    deps: Pick<MembershipDeps, "self" | "clock" | "random" | "logger" | "exchange">,
    registry: EntryRegistry,
    awake: ReturnType<typeof createAwakeTime>,
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
        const trySuspected = live.length === 0 || random.nextUnit() < suspectedProbeRatio;
        const view = drawOne(trySuspected && suspected.length > 0 ? suspected : live, random);
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

    /** One exchange, with a second where a record is owed on either side; true if answered. */
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
        const asked = drawSome(others, indirectProbes, random);
        const attempts = asked.map(view => probeIndirectly(view.record.address, target.address));
        const reached = await Promise.all([probe(target), ...attempts]);
        return reached.includes(true);
    }

    async function probeOnce(listedAddresses: () => string[]): Promise<void> {
        ownHeartbeat.counter++;
        const target = drawTarget(listedAddresses);
        if (target === undefined) {
            return;
        }
        const pauses = awake.pauses();
        const answered = await probe(target);
        probeHealth.record(answered);
        if (answered || target.entry === undefined || registry.beat(target.entry)?.suspected === true) {
            return;
        }
        if (await isReachable(target)) {
            return;
        }
        const isOwnFault = awake.pauses() > pauses
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
