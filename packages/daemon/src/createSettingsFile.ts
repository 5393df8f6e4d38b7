import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { validateRoleSettings } from "@auburnarch/config/validateRoleSettings";
import type { Logger } from "@auburnarch/types/Logger";
import { isDeepStrictEqual } from "node:util";
import { createCoalescedRun } from "./createCoalescedRun.js";
import type { OpenedSettings } from "./OpenedSettings.js";

type Checked = ReturnType<typeof validateRoleSettings>;

/** What a read of the file gave: its text, or why there is none. */
type Content = { kind: "read"; text: string; } | { kind: "unreadable"; reason: string; };

const fault = (message: string): Checked => ({ kind: "invalid", faults: [{ path: "", message }] });

async function readContent(readText: () => Promise<string>): Promise<Content> {
    try {
        return { kind: "read", text: await readText() };
    }
    catch (error) {
        return { kind: "unreadable", reason: String(error) };
    }
}

function checkContent(content: Content): Checked {
    if (content.kind === "unreadable") {
        return fault(`Not readable: ${content.reason}`);
    }
    try {
        return validateRoleSettings(JSON.parse(content.text));
    }
    catch (error) {
        return fault(`Not JSON: ${String(error)}`);
    }
}

/** Keys whose changes take effect in a running process; all others take effect at the next start. */
const liveKeys = new Set(["storeAddress", "usage.address"]);

/** Settings by the path of their key; a list is one setting. */
function listByPath(value: object, prefix = ""): Map<string, string> {
    return new Map(
        Object.entries(value).flatMap(([key, field]: [string, unknown]) =>
            field instanceof Object && !Array.isArray(field)
                ? [...listByPath(field, `${prefix}${key}.`)]
                : [[`${prefix}${key}`, JSON.stringify(field)] as const]
        ),
    );
}

/** Paths whose values differ, or that only one of both has. */
function listDifferences(a: Map<string, string>, b: Map<string, string>): string[] {
    return [...new Set([...a.keys(), ...b.keys()])].filter(path => a.get(path) !== b.get(path));
}

interface SettingsFileOptions {
    /** Called with the outcome whenever a later read finds a content that differs from the one before. */
    onNewContent?: (outcome: "applied" | "invalid") => void;
    /** Limits the time of reads after the first one; the default sets no limit. */
    limitRead?: (readText: () => Promise<string>) => () => Promise<string>;
}

/** Opens the settings file of a gateway or a runner; `readText` reads it. */
export async function createSettingsFile(
    readText: () => Promise<string>,
    { onNewContent = () => undefined, limitRead = read => read }: SettingsFileOptions = {},
): Promise<OpenedSettings> {
    let last = await readContent(readText);
    const first = checkContent(last);
    if (first.kind === "invalid") {
        return first;
    }
    let { settings } = first;
    const atStart = listByPath(settings);
    const readAgain = limitRead(readText);
    let isReloadRequested = false;

    // A part of the process that was not configured at the start does not run.
    const isLive = (path: string, next: Map<string, string>): boolean =>
        liveKeys.has(path) && atStart.has(path) && next.has(path);

    function apply(next: RoleSettings, logger: Logger): void {
        const nextByPath = listByPath(next);
        const changed = listDifferences(listByPath(settings), nextByPath);
        const atNextStart = listDifferences(atStart, nextByPath).filter(path => !isLive(path, nextByPath));
        settings = next;
        logger.info("settingsReloaded", { changed: changed.join(","), atNextStart: atNextStart.join(",") });
    }

    async function readAndApply(logger: Logger): Promise<void> {
        const mustReport = isReloadRequested;
        isReloadRequested = false;
        const content = await readContent(readAgain);
        const isNew = !isDeepStrictEqual(content, last);
        last = content;
        if (!isNew && !mustReport) {
            return;
        }
        const next = checkContent(content);
        if (next.kind === "valid") {
            apply(next.settings, logger);
        }
        else {
            next.faults.forEach(({ path, message }) => logger.error("settingsInvalid", { path, message }));
        }
        if (isNew) {
            onNewContent(next.kind === "valid" ? "applied" : "invalid");
        }
    }

    const checkOnce = createCoalescedRun(readAndApply);
    return {
        kind: "opened",
        file: {
            current: () => settings,
            check: checkOnce,
            reload: logger => {
                isReloadRequested = true;
                return checkOnce(logger);
            },
        },
    };
}
