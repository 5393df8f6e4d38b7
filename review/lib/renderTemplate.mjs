const tagPattern = /\{\{([#^/])?([\w.@,-]*)(\|json)?\}\}/gu;

/** Looks a dotted name up, first in the innermost scope. */
function lookUp(scopes, name) {
    if (name === ".") {
        return scopes.at(-1);
    }
    for (const scope of [...scopes].reverse()) {
        const found = name.split(".").reduce((value, part) => value?.[part], scope);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function renderValue(value, isJson) {
    if (isJson) {
        return JSON.stringify(value ?? null);
    }
    if (value === undefined || value === null) {
        return "";
    }
    return Array.isArray(value)
        ? value.join(",")
        : typeof value === "object"
        ? JSON.stringify(value)
        : String(value);
}

/** Index of the closing tag of the section `name` that opens before `from`. */
function findEnd(text, name, from) {
    const close = `{{/${name}}}`;
    const at = text.indexOf(close, from);
    if (at < 0) {
        throw new Error(`section ${name} is not closed`);
    }
    return { at, after: at + close.length };
}

/** Fills a settings template with the fields of a process, as the users' deploy page describes it. */
export function renderTemplate(text, fields, scopes = [fields]) {
    let rendered = "";
    let position = 0;
    tagPattern.lastIndex = 0;
    for (;;) {
        tagPattern.lastIndex = position;
        const tag = tagPattern.exec(text);
        if (tag === null) {
            return rendered + text.slice(position);
        }
        const [whole, mark, name, json] = tag;
        rendered += text.slice(position, tag.index);
        position = tag.index + whole.length;
        const value = lookUp(scopes, name);
        if (mark === undefined) {
            rendered += renderValue(value, json !== undefined);
            continue;
        }
        const { at, after } = findEnd(text, name, position);
        const inner = text.slice(position, at);
        const isPresent = value !== undefined && value !== null && value !== false;
        if (mark === "#" && isPresent) {
            const entries = Array.isArray(value) ? value : [value];
            rendered += entries.map(entry => renderTemplate(inner, fields, [...scopes, entry])).join("");
        }
        else if (mark === "^" && !isPresent) {
            rendered += renderTemplate(inner, fields, scopes);
        }
        position = after;
    }
}
