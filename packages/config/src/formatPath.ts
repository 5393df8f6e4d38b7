/** Formats a path of keys and indexes, for example as `jobs[0].groupSize`. */
export function formatPath(path: readonly PropertyKey[]): string {
    let text = "";
    for (const part of path) {
        if (typeof part === "number") {
            text += `[${part}]`;
        }
        else {
            text += text === "" ? String(part) : `.${String(part)}`;
        }
    }
    return text;
}
