/** The settings file could not be read in time. */
export class SettingsReadError extends Error {
    override name = "SettingsReadError";
}
