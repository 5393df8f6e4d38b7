import { drawOne } from "@auburnarch/documents/drawOne";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRegistry } from "./EntryRegistry.js";
import type { GossipMessage } from "./GossipMessage.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { RecordRow } from "./RecordRow.js";

/** Builds and takes the messages between entries. */
interface GossipMessages {
    applyMessage(message: GossipMessage): void;
    buildMessage(to: EntryId | undefined, wanted: EntryId[]): GossipMessage;
    recordsFor(wanted: EntryId[]): RecordRow[];
}

/** Makes the building and taking of messages; `own` is this entry's heartbeat. */
export function createGossipMessages(
    deps: Pick<MembershipDeps, "self" | "random" | "logger">,
    ownHeartbeat: Heartbeat,
    registry: EntryRegistry,
    timing: MembershipTiming,
): GossipMessages {
    const { self } = deps;

    /**
     * Another run of this entry is known with a higher generation: the wall clock went back between the two.
     * Peers would drop all our heartbeats as old and take us for dead.
     */
    function raiseGeneration(beat: Heartbeat): void {
        const isAhead = beat.generation > ownHeartbeat.generation
            || (beat.generation === ownHeartbeat.generation && beat.counter > ownHeartbeat.counter);
        if (isAhead) {
            ownHeartbeat.generation = beat.generation + 1;
            deps.logger.warn("generationRaised", { entry: self.entry, generation: ownHeartbeat.generation });
        }
    }

    function applyMessage(message: GossipMessage): void {
        for (const beat of message.beats) {
            if (beat.entry === self.entry) {
                raiseGeneration(beat);
            }
            else {
                registry.applyHeartbeat(beat);
            }
        }
        message.records.filter(({ record }) => record.entry !== self.entry).forEach(registry.applyRecord);
    }

    function recordsFor(wanted: EntryId[]): RecordRow[] {
        const ownRow = { record: self, generation: ownHeartbeat.generation };
        return wanted
            .slice(0, timing.recordsPerMessage)
            .map(entry => entry === self.entry ? ownRow : registry.record(entry))
            .filter(record => record !== undefined);
    }

    function buildMessage(to: EntryId | undefined, wanted: EntryId[]): GossipMessage {
        // The receiver's own beat goes along, so that it can raise its generation over an earlier run of itself.
        const receiver = to === undefined ? undefined : registry.beat(to);
        // A row at random repairs what the news missed.
        const repair = drawOne(registry.beats(), deps.random);
        const beats = new Map<EntryId, Heartbeat>();
        for (
            const beat of [
                { ...ownHeartbeat },
                receiver,
                repair,
                ...registry.nextBroadcasts(timing.heartbeatsPerMessage),
            ]
        ) {
            if (beat !== undefined) {
                beats.set(beat.entry, beat);
            }
        }
        return {
            from: self.entry,
            beats: [...beats.values()],
            records: recordsFor(wanted),
            wanted: registry.listWithoutRecord(timing.recordsPerMessage),
        };
    }

    return { applyMessage, buildMessage, recordsFor };
}
