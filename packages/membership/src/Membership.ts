import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { EntryTarget } from "./EntryTarget.js";
import type { EntryView } from "./EntryView.js";
import type { GossipMessage } from "./GossipMessage.js";
import type { ReportAnswer } from "./ReportAnswer.js";
import type { ReportMessage } from "./ReportMessage.js";
import type { ReportView } from "./ReportView.js";

/** Who is there, as one entry knows it. */
export interface Membership {
    start(): void;
    stop(): void;
    /** Tells peers that this entry takes no new work. */
    beginLeaving(): void;
    /** Answers a peer's message, unchecked as it came. Rejects with `badRequest` if it is malformed. */
    receiveGossip(message: unknown): Promise<GossipMessage>;
    /** Takes a sidecar's report, unchecked as it came. Throws `badRequest` if it is malformed. */
    receiveReport(message: unknown): ReportAnswer;
    /** Takes a report that came beside an answer. */
    acceptReport(report: ReportMessage["report"]): void;
    /** Other entries, suspected ones too. */
    listEntries(): EntryView[];
    /** Other entries neither suspected nor leaving. */
    listPeers(): EntryTarget[];
    listReports(): ReportView[];
    /** Evidence from a call to a sampler: whether a connection came about. */
    recordSamplerContact(sampler: SamplerId, reached: boolean): void;
    /** True while this entry is among the few that watch the object API. */
    isRelay(): boolean;
}
