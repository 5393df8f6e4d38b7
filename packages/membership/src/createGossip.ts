import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import { callInTime } from "./callInTime.js";
import type { createEntryBook } from "./createEntryBook.js";
import { drawOne } from "./drawOne.js";
import { drawSome } from "./drawSome.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipMessageSchema } from "./gossipMessageSchema.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import { parseWith } from "./parseWith.js";

/** Exchange of heartbeats between entries. */
interface Gossip {
    /** Holds one exchange with a peer drawn at random. */
    exchangeOnce(listedAddresses: string[]): Promise<void>;
    receive(message: unknown): GossipMessage;
    beginLeaving(): void;
}

/** Part of the exchanges that try a suspected entry, so that two halves find each other again after a cut. */
const suspectedRatio = 0.1;
/** Part of the exchanges that try an address of the VM list or the seeds whose entry is not known yet. */
const unknownRatio = 0.5;

/** Makes the exchange of heartbeats. Messages are of bounded size whatever the number of entries. */
export function createGossip(
    deps: Pick<MembershipDeps, "self" | "clock" | "random" | "logger" | "exchange">,
    book: ReturnType<typeof createEntryBook>,
    timing: MembershipTiming,
): Gossip {
    const { self, random } = deps;
    const own: Heartbeat = {
        entry: self.entry,
        generation: deps.clock.wallMs(),
        counter: 0,
        leaving: false,
    };

    /**
     * Another run of this entry is known with a higher generation: the wall clock went back between the two.
     * Peers would drop all our heartbeats as old and take us for dead.
     */
    function overtake(beat: Heartbeat): void {
        const isAhead = beat.generation > own.generation
            || (beat.generation === own.generation && beat.counter > own.counter);
        if (isAhead) {
            own.generation = beat.generation + 1;
            deps.logger.warn("generationRaised", { entry: self.entry, generation: own.generation });
        }
    }

    function take(message: GossipMessage): void {
        book.takeRecord(message.from);
        message.records.filter(record => record.entry !== self.entry).forEach(book.takeRecord);
        for (const beat of message.beats) {
            if (beat.entry === self.entry) {
                overtake(beat);
            }
            else {
                book.takeBeat(beat);
            }
        }
    }

    function recordsFor(wanted: EntryId[]): EntryRecord[] {
        return wanted
            .slice(0, timing.recordsPerMessage)
            .map(entry => book.record(entry))
            .filter(record => record !== undefined);
    }

    function build(to: EntryId | undefined, wanted: EntryId[]): GossipMessage {
        const others = book.beats().filter(beat => beat.entry !== to);
        // The receiver's own beat goes along, so that it can raise its generation over an earlier run of itself.
        const receiver = to === undefined ? undefined : book.beat(to);
        const passedOn = drawSome(others, timing.beatsPerMessage, random);
        return {
            from: self,
            beats: [{ ...own }, ...(receiver === undefined ? [] : [receiver]), ...passedOn],
            records: recordsFor(wanted),
            wanted: book.withoutRecord().slice(0, timing.recordsPerMessage),
        };
    }

    function drawTarget(
        listedAddresses: string[],
    ): { address: string; entry: EntryId | undefined; } | undefined {
        const views = book.list();
        const known = new Set(views.map(view => view.record.address).concat(self.address));
        const unknown = listedAddresses.filter(address => !known.has(address));
        const live = views.filter(view => !view.suspected);
        const suspected = views.filter(view => view.suspected);
        if (unknown.length > 0 && (views.length === 0 || random.nextUnit() < unknownRatio)) {
            return { address: drawOne(unknown, random)!, entry: undefined };
        }
        const trySuspected = live.length === 0 || random.nextUnit() < suspectedRatio;
        const view = drawOne(trySuspected && suspected.length > 0 ? suspected : live, random);
        return view === undefined ? undefined : { address: view.record.address, entry: view.record.entry };
    }

    async function send(address: string, message: GossipMessage): Promise<GossipMessage | undefined> {
        const call = (): Promise<unknown> => deps.exchange(address, message);
        const outcome = await callInTime(deps.clock, timing.gossipTimeoutMs, call);
        return outcome === undefined
            ? undefined
            : parseWith<GossipMessage>(gossipMessageSchema, outcome.answer);
    }

    async function exchangeOnce(listedAddresses: string[]): Promise<void> {
        own.counter++;
        const target = drawTarget(listedAddresses);
        if (target === undefined) {
            return;
        }
        const answer = await send(target.address, build(target.entry, []));
        if (answer === undefined) {
            if (target.entry !== undefined) {
                book.unreachable(target.entry);
            }
            return;
        }
        take(answer);
        if (answer.wanted.length > 0) {
            const records = recordsFor(answer.wanted);
            await send(target.address, { from: self, beats: [], records, wanted: [] });
        }
    }

    return {
        exchangeOnce,
        receive: message => {
            const parsed = parseWith<GossipMessage>(gossipMessageSchema, message);
            take(parsed);
            return build(parsed.from.entry, parsed.wanted);
        },
        beginLeaving: () => {
            own.leaving = true;
        },
    };
}
