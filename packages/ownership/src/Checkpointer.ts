/** Writes the job's checkpoint in batches. */
export interface Checkpointer {
    /** Schedules a write within a few seconds, together with all further changes until then. */
    markChanged(): void;
    /** Writes now; resolves once the changes up to this call are durable, or the checkpointer is closed. */
    flush(): Promise<void>;
    /** Starts no further writes; one in flight completes on its own. */
    close(): void;
}
