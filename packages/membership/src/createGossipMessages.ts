import { drawOne } from "@auburnarch/spread/drawOne";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryBook } from "./EntryBook.js";
import type { GossipMessage } from "./GossipMessage.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { RecordRow } from "./RecordRow.js";

/** Builds and takes the messages between entries. */
interface GossipMessages {
    take(message: GossipMessage): void;
    build(to: EntryId | undefined, wanted: EntryId[]): GossipMessage;
    recordsFor(wanted: EntryId[]): RecordRow[];
}

/** Makes the building and taking of messages; `own` is this entry's heartbeat. */
export function createGossipMessages(
    deps: Pick<MembershipDeps, "self" | "random" | "logger">,
    own: Heartbeat,
    book: EntryBook,
    timing: MembershipTiming,
): GossipMessages {
    const { self } = deps;

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
        for (const beat of message.beats) {
            if (beat.entry === self.entry) {
                overtake(beat);
            }
            else {
                book.takeBeat(beat);
            }
        }
        message.records.filter(({ record }) => record.entry !== self.entry).forEach(book.takeRecord);
    }

    function recordsFor(wanted: EntryId[]): RecordRow[] {
        const ownRow = { record: self, generation: own.generation };
        return wanted
            .slice(0, timing.recordsPerMessage)
            .map(entry => entry === self.entry ? ownRow : book.record(entry))
            .filter(record => record !== undefined);
    }

    function build(to: EntryId | undefined, wanted: EntryId[]): GossipMessage {
        // The receiver's own beat goes along, so that it can raise its generation over an earlier run of itself.
        const receiver = to === undefined ? undefined : book.beat(to);
        // A row at random repairs what the news missed.
        const repair = drawOne(book.beats(), deps.random);
        const beats = new Map<EntryId, Heartbeat>();
        for (const beat of [{ ...own }, receiver, repair, ...book.drawNews(timing.beatsPerMessage)]) {
            if (beat !== undefined) {
                beats.set(beat.entry, beat);
            }
        }
        return {
            from: self.entry,
            beats: [...beats.values()],
            records: recordsFor(wanted),
            wanted: book.withoutRecord(timing.recordsPerMessage),
        };
    }

    return { take, build, recordsFor };
}
