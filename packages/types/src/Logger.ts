import type { LogFields } from "./LogFields.js";

/** Writes one line of key=value pairs per event. Tokens and bodies never go into a field. */
export interface Logger {
    info(event: string, fields: LogFields): void;
    warn(event: string, fields: LogFields): void;
    error(event: string, fields: LogFields): void;
    /** Creates a logger that adds `fields` to each line. */
    child(fields: LogFields): Logger;
}
