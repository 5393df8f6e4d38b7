import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import { trialRecordsKind } from "./trialRecordsKind.js";

/** Key of the stored object of a content that may crash samplers. */
export function trialRecordKey(content: ContentDigest): string {
    return `${trialRecordsKind}/${content}`;
}
