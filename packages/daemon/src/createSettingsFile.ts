import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { validateRoleSettings } from "@auburnarch/config/validateRoleSettings";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Logger } from "@auburnarch/types/Logger";
import { createCoalescedRun } from "./createCoalescedRun.js";
import type { SettingsFile } from "./SettingsFile.js";

type OpenResult = { kind: "opened"; file: SettingsFile; } | { kind: "invalid"; faults: ConfigFault[]; };

function parse(text: string): ReturnType<typeof validateRoleSettings> {
    try {
        return validateRoleSettings(JSON.parse(text));
    }
    catch (error) {
        return { kind: "invalid", faults: [{ path: "", message: `Not JSON: ${String(error)}` }] };
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

/**
 * Opens the settings file of a gateway or a runner. `readText` reads it; `onNewContent` is called with the outcome
 * whenever a later read finds a content that differs from the one before.
 */
export async function createSettingsFile(
    readText: () => Promise<string>,
    onNewContent: (outcome: "applied" | "invalid") => void = () => undefined,
): Promise<OpenResult> {
    let lastText = await readText();
    const first = parse(lastText);
    if (first.kind === "invalid") {
        return first;
    }
    let { settings } = first;
    // A part of the process that was not configured at the start does not run.
    const pathsAtStart = new Set(listByPath(settings).keys());
    let isReloadRequested = false;

    function apply(next: RoleSettings, logger: Logger): void {
        const before = listByPath(settings);
        const after = listByPath(next);
        const changed = [...new Set([...before.keys(), ...after.keys()])]
            .filter(path => before.get(path) !== after.get(path));
        const isLive = (path: string): boolean =>
            liveKeys.has(path) && pathsAtStart.has(path) && after.has(path);
        settings = next;
        logger.info("settingsReloaded", {
            changed: changed.join(","),
            atNextStart: changed.filter(path => !isLive(path)).join(","),
        });
    }

    async function readAndApply(logger: Logger): Promise<void> {
        const mustReport = isReloadRequested;
        isReloadRequested = false;
        const text = await readText().catch(error => `unreadable: ${String(error)}`);
        const isNew = text !== lastText;
        lastText = text;
        if (!isNew && !mustReport) {
            return;
        }
        const next = parse(text);
        if (next.kind === "valid") {
            apply(next.settings, logger);
        }
        else if (isNew) {
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
