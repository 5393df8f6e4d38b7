import type { BreakExchange } from "./BreakExchange.js";
import type { BreakMessage } from "./BreakMessage.js";
import type { BreakRegistry } from "./BreakRegistry.js";

/** Creates the exchange of the process `self`. */
export function createBreakExchange(self: string, breaks: BreakRegistry): BreakExchange {
    /** Digests in the latest answers, by process. A process that knows nothing, or has started again, sends none. */
    const digests = new Map<string, string>();

    function createMessage(otherDigest: string): { contents?: BreakMessage; } {
        const digest = breaks.digest();
        if (digest === "" && otherDigest === "") {
            return {};
        }
        const reports = digest === otherDigest ? [] : breaks.listReports();
        return { contents: { from: self, digest, reports } };
    }

    function merge(message: BreakMessage | undefined): void {
        if (message !== undefined) {
            breaks.merge(message.reports, message.from);
        }
    }

    return {
        createQuery: process => createMessage(digests.get(process) ?? ""),
        receiveAnswer: (process, message) => {
            merge(message);
            digests.set(process, message?.digest ?? "");
        },
        receiveQuery: merge,
        createAnswer: query => createMessage(query?.digest ?? ""),
    };
}
