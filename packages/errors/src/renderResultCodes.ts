import type { ResultCode } from "@auburnarch/types/ResultCode";

const families: Record<number, string> = {
    1: "The request is at fault",
    2: "Not run",
    3: "Unknown whether it ran",
    4: "An outside system failed",
    5: "Configuration",
    6: "Local disk",
    7: "Internal",
    9: "A promise was broken",
};

function renderRow({ number, name, httpStatus, meaning, action }: ResultCode): string {
    return `| ${number} | \`${name}\` | ${httpStatus} | ${meaning} | ${action} |`;
}

/** Renders the body of `docs/result-codes.md`: one table per family, sorted by number. */
export function renderResultCodes(codes: readonly ResultCode[]): string {
    const sections = Object.entries(families).map(([family, title]) => {
        const rows = codes
            .filter(code => Math.floor(code.number / 1_000) === Number(family))
            .sort((a, b) => a.number - b.number)
            .map(renderRow);
        const head = [
            "| number | name | HTTP status | meaning | what to do |",
            "| --- | --- | --- | --- | --- |",
        ];
        return [`## ${family}xxx: ${title}`, "", ...head, ...rows].join("\n");
    });
    return sections.join("\n\n");
}
