/** Writes the job's checkpoint, batched. */
export interface Checkpointer {
    /** Something worth keeping changed; it is written within a few seconds, with whatever else changes till then. */
    markChanged(): void;
    /** Writes now; resolves once what stood at the call is durable, or writing has ended. */
    flush(): Promise<void>;
    /** Ends writing; what is under way ends by itself. */
    close(): void;
}
