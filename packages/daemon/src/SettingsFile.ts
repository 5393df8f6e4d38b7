import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import type { Logger } from "@auburnarch/types/Logger";

/**
 * Settings file of a running gateway or runner. Reads follow each other, so the newest content is applied last. The
 * faults of a content are logged, and the previous settings stay in effect.
 */
export interface SettingsFile {
    current(): RoleSettings;
    /** Reads the file and applies a content that differs from the one read before. */
    check(logger: Logger): Promise<void>;
    /** Does the same, and logs the outcome even if the content has not changed. */
    reload(logger: Logger): Promise<void>;
}
