/** The writable end of an HTTP answer, as far as `pipeBody` needs it. */
export interface ByteSink {
    /** Called once before anything is written; `wholeBytes` is the length of a body that is complete already. */
    begin(totalBytes: number | undefined): void;
    /** False if the sink wants the writer to wait for `drained`. */
    write(chunk: Uint8Array): boolean;
    /** Ends the answer, with its last bytes if there are any. */
    end(last: Uint8Array | undefined): void;
    /** Resolves once the sink takes more, or is closed. */
    drained(): Promise<void>;
}
