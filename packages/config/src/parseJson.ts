import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** Parses JSON. A syntax error is returned as a fault with an empty path, which denotes the whole text. */
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
