import { callInTime } from "@auburnarch/spread/callInTime";
import { drawOne } from "@auburnarch/spread/drawOne";
import { drawSome } from "@auburnarch/spread/drawSome";
import { parseWith } from "@auburnarch/spread/parseWith";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { createAwakeTime } from "./createAwakeTime.js";
import { createGossipMessages } from "./createGossipMessages.js";
import { createProbeHealth } from "./createProbeHealth.js";
import type { EntryBook } from "./EntryBook.js";
import type { Gossip } from "./Gossip.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipMessageSchema } from "./gossipMessageSchema.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** Part of the probes that go to a suspected entry, so that two halves find each other again after a cut. */
const suspectedRatio = 0.1;
/** Part of the probes that go to an address of the VM list or the seeds whose entry is not known yet. */
const unknownRatio = 0.5;
/** Entries asked to probe one that did not answer: a broken link between two must not look like a death. */
const helpers = 2;
/** A helper needs its own timeout on top of the way there and back. */
const helperTimeoutFactor = 2.5;
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
    book: EntryBook,
    awake: ReturnType<typeof createAwakeTime>,
    timing: MembershipTiming,
): Gossip {
    const { self, random } = deps;
    const own: Heartbeat = { entry: self.entry, generation: deps.clock.wallMs(), counter: 0 };
    const { take, build, recordsFor } = createGossipMessages(deps, own, book, timing);
    const health = createProbeHealth();

    function drawTarget(listedAddresses: () => string[]): Target | undefined {
        const views = book.list();
        const live = views.filter(view => !view.suspected);
        if (live.length === 0 || random.nextUnit() < unknownRatio) {
            const known = new Set(views.map(view => view.record.address).concat(self.address));
            const address = drawOne(listedAddresses().filter(listed => !known.has(listed)), random);
            if (address !== undefined) {
                return { address, entry: undefined };
            }
        }
        const suspected = views.filter(view => view.suspected);
        const trySuspected = live.length === 0 || random.nextUnit() < suspectedRatio;
        const view = drawOne(trySuspected && suspected.length > 0 ? suspected : live, random);
        return view === undefined ? undefined : { address: view.record.address, entry: view.record.entry };
    }

    async function send(
        address: string,
        message: GossipMessage,
        timeoutMs = timing.gossipTimeoutMs,
    ): Promise<GossipMessage | undefined> {
        const call = async (): Promise<GossipMessage> =>
            parseWith<GossipMessage>(gossipMessageSchema, await deps.exchange(address, message));
        const outcome = await callInTime(deps.clock, timeoutMs, call);
        return outcome?.answer;
    }

    /** One exchange, with a second where a record is owed on either side; true if answered. */
    async function probe(target: Target): Promise<boolean> {
        const answer = await send(target.address, build(target.entry, []));
        if (answer === undefined) {
            return false;
        }
        take(answer);
        const wanted = book.withoutRecord(timing.recordsPerMessage);
        if (answer.wanted.length > 0 || wanted.length > 0) {
            const records = recordsFor(answer.wanted);
            const second = await send(target.address, { from: self.entry, beats: [], records, wanted });
            second?.records.filter(({ record }) => record.entry !== self.entry).forEach(book.takeRecord);
        }
        return true;
    }

    async function probeThrough(helper: string, target: string): Promise<boolean> {
        const message = { ...build(undefined, []), probe: target };
        const answer = await send(helper, message, timing.gossipTimeoutMs * helperTimeoutFactor);
        return answer?.reached === true;
    }

    async function isReachable(target: Target): Promise<boolean> {
        const others = book.list().filter(view => !view.suspected && view.record.entry !== target.entry);
        const asked = drawSome(others, helpers, random);
        const attempts = asked.map(view => probeThrough(view.record.address, target.address));
        const reached = await Promise.all([probe(target), ...attempts]);
        return reached.includes(true);
    }

    async function probeOnce(listedAddresses: () => string[]): Promise<void> {
        own.counter++;
        const target = drawTarget(listedAddresses);
        if (target === undefined) {
            return;
        }
        const pauses = awake.pauses();
        const answered = await probe(target);
        health.note(answered);
        if (answered || target.entry === undefined || book.beat(target.entry)?.suspected === true) {
            return;
        }
        if (await isReachable(target)) {
            return;
        }
        const isOwnFault = awake.pauses() > pauses
            || (health.isPoor() && book.list().length >= minPeersForHealth);
        if (!isOwnFault) {
            book.suspect(target.entry);
        }
    }

    async function receive(message: unknown): Promise<GossipMessage> {
        const parsed = parseWith<GossipMessage>(gossipMessageSchema, message);
        take(parsed);
        const answer = build(parsed.from, parsed.wanted);
        if (parsed.probe !== undefined) {
            answer.reached = await probe({ address: parsed.probe, entry: undefined });
        }
        return answer;
    }

    return {
        probeOnce,
        receive,
        beginLeaving: () => {
            own.leaving = true;
        },
    };
}
