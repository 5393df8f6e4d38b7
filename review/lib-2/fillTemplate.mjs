const sectionPattern = /\{\{([#^])([^{}]+)\}\}([^]*?)\{\{\/\2\}\}/u;
const placeholderPattern = /\{\{([^{}#^/]+)\}\}/gu;

function find(fields, path) {
    if (path === ".") {
        return fields;
    }
    return path.split(".").reduce((value, key) => value?.[key] ?? undefined, fields);
}

function render(fields, text) {
    const [path, filter] = text.split("|");
    const value = find(fields, path);
    if (filter === "json") {
        return JSON.stringify(value ?? null);
    }
    if (value === undefined) {
        return "";
    }
    return Array.isArray(value) ? value.join(",") : String(value);
}

/** Fills in a settings template as the platform does. Sections here are conditions: none stands for a list. */
export function fillTemplate(template, fields) {
    let text = template;
    for (let found = sectionPattern.exec(text); found !== null; found = sectionPattern.exec(text)) {
        const [whole, sign, path, inner] = found;
        const value = find(fields, path);
        const isPresent = value !== undefined && value !== false;
        text = text.replace(whole, () => isPresent === (sign === "#") ? inner : "");
    }
    return text.replaceAll(placeholderPattern, (_whole, placeholder) => render(fields, placeholder));
}
