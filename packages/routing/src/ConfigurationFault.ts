/** A part of a configuration that is left out because it can't be understood; the rest is in force. */
export interface ConfigurationFault {
    /** Where it stands, such as `tenants.3`. It never shows a key. */
    field: string;
    fault: string;
}
