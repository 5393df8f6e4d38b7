/** A part of a configuration that is ignored because it is invalid; the other parts are in effect. */
export interface ConfigurationFault {
    /** Path of the part, such as `tenants.3`; never contains a key. */
    field: string;
    fault: string;
}
