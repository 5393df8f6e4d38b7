/** One write of a program's settings file. */
export interface SettingsChange {
    beganAtMs: number;
    writtenAtMs: number;
    /** Index of the link to the store that the file names. */
    storeLink: number;
}
