import { drawOne } from "@auburnarch/documents/drawOne";
import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRegistry } from "./EntryRegistry.js";
import type { GossipMessage } from "./GossipMessage.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipDeps } from "./MembershipDeps.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { RecordRow } from "./RecordRow.js";

/** Builds and applies the messages between entries. */
interface GossipMessages {
    applyMessage(message: GossipMessage): void;
    buildMessage(to: EntryId | undefined, wanted: EntryId[]): GossipMessage;
    recordsFor(wanted: EntryId[]): RecordRow[];
}

/** Creates the builder of gossip messages; `ownHeartbeat` is the heartbeat of this entry. */
export function createGossipMessages(
    deps: Pick<MembershipDeps, "self" | "random" | "logger">,
    ownHeartbeat: Heartbeat,
    registry: EntryRegistry,
    timing: MembershipTiming,
): GossipMessages {
    const { self } = deps;

    /**
     * Raises the own generation above that of an earlier run, which is higher if the wall clock was set back between
     * the two. Otherwise peers would drop all heartbeats of this run as outdated and suspect this entry.
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
        // Includes the receiver's own heartbeat, so that it can raise its generation above an earlier run.
        const receiver = to === undefined ? undefined : registry.beat(to);
        // A random heartbeat repairs changes that the broadcasts did not deliver.
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
