import type { SampleBreaks } from "@auburnarch/dispatch/SampleBreaks";
import type { BreakRegistry } from "@auburnarch/forwarding/BreakRegistry";
import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { ItemRun } from "./ItemRun.js";

function digestOf({ batchJob, item }: ItemRun): ContentDigest {
    const body = Buffer.from(item.bodyBase64, "base64");
    return digestContent({ target: batchJob.host, method: "POST", path: item.path, body });
}

/**
 * Applies the break registry of the process to items, so that what an item did to samplers is known to the runner that
 * takes its batch job over. Contents are digested only once some content has been recorded.
 */
export function createItemBreaks(
    breaks: BreakRegistry,
    findRun: (item: SampleId) => ItemRun | undefined,
): SampleBreaks {
    const contentOf = (item: SampleId): ContentDigest | undefined => {
        const run = findRun(item);
        return run === undefined ? undefined : digestOf(run);
    };

    return {
        pauseMs: item => {
            const content = breaks.isEmpty() ? undefined : contentOf(item);
            return content === undefined ? 0 : breaks.pauseMs(content);
        },
        recordBreak: (item, sampler) => {
            const content = contentOf(item);
            if (content !== undefined) {
                // Samplers are named by their starts here.
                breaks.recordBreak(content, sampler as string as IncarnationId);
            }
        },
        recordCompletion: item => {
            const content = breaks.isEmpty() ? undefined : contentOf(item);
            if (content !== undefined) {
                breaks.recordCompletion(content);
            }
        },
    };
}
