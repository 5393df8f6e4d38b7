import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { EntryTarget } from "./EntryTarget.js";
import type { EntryView } from "./EntryView.js";
import type { GossipMessage } from "./GossipMessage.js";
import type { ReportAnswer } from "./ReportAnswer.js";
import type { ReportMessage } from "./ReportMessage.js";
import type { ReportView } from "./ReportView.js";

/** The entries and samplers that one entry knows. */
export interface Membership {
    start(): void;
    stop(): void;
    /** Announces to peers that this entry accepts no new work. */
    beginLeaving(): void;
    /** Validates and answers a peer's message. Rejects with `badRequest` if it is malformed. */
    receiveGossip(message: unknown): Promise<GossipMessage>;
    /** Validates and applies a sidecar's report. Throws `badRequest` if it is malformed. */
    receiveReport(message: unknown): ReportAnswer;
    /** Applies a report that arrived with a sidecar's answer. */
    acceptReport(report: ReportMessage["report"]): void;
    /** Other entries, including suspected ones. */
    listEntries(): EntryView[];
    /** Other entries that are neither suspected nor leaving. */
    listPeers(): EntryTarget[];
    listReports(): ReportView[];
    /** Records whether a call to a sampler could connect. */
    recordSamplerContact(sampler: SamplerId, reached: boolean): void;
    /** True while this entry is one of the relays, the few entries that watch the object API. */
    isRelay(): boolean;
}
