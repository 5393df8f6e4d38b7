import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { validateRoleSettings } from "@auburnarch/config/validateRoleSettings";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { Logger } from "@auburnarch/types/Logger";
import { createCoalescedRun } from "./createCoalescedRun.js";

interface SettingsFile {
    current(): RoleSettings;
    /**
     * Reads the file again, after a read that is under way. If it has faults, they are logged and the previous settings
     * stay in effect.
     */
    reload(logger: Logger): Promise<void>;
}

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
const liveKeys = new Set<string>(["storeAddress"]);

/** Opens the settings file of a gateway or a runner; `readText` reads it. */
export async function createSettingsFile(readText: () => Promise<string>): Promise<OpenResult> {
    const first = parse(await readText());
    if (first.kind === "invalid") {
        return first;
    }
    let { settings } = first;

    function apply(next: RoleSettings, logger: Logger): void {
        const keys = [...new Set([...Object.keys(settings), ...Object.keys(next)])] as (keyof RoleSettings)[];
        const changed = keys.filter(key => JSON.stringify(settings[key]) !== JSON.stringify(next[key]));
        settings = next;
        logger.info("settingsReloaded", {
            changed: changed.join(","),
            atNextStart: changed.filter(key => !liveKeys.has(key)).join(","),
        });
    }

    async function readAndApply(logger: Logger): Promise<void> {
        const next = parse(await readText().catch(error => `unreadable: ${String(error)}`));
        if (next.kind === "valid") {
            apply(next.settings, logger);
            return;
        }
        for (const { path, message } of next.faults) {
            logger.error("settingsInvalid", { path, message });
        }
    }

    return {
        kind: "opened",
        file: {
            current: () => settings,
            reload: createCoalescedRun(readAndApply),
        },
    };
}
