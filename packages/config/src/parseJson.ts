import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** Parses JSON; a syntax fault becomes a fault of the whole text. */
export function parseJson(
    text: string,
): { kind: "valid"; json: unknown; } | { kind: "invalid"; faults: ConfigFault[]; } {
    try {
        return { kind: "valid", json: JSON.parse(text) };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { kind: "invalid", faults: [{ path: "", message: `Not valid JSON: ${reason}.` }] };
    }
}
