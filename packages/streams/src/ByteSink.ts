/** The writable side of an HTTP response, as `pipeBody` needs it. */
export interface ByteSink {
    /** Called once before anything is written; `totalBytes` is the length of the body if it is already complete. */
    begin(totalBytes: number | undefined): void;
    /** False if the writer should wait for `drained` before it writes more. */
    write(chunk: Uint8Array): boolean;
    /** Ends the response, with its last bytes if there are any. */
    end(last: Uint8Array | undefined): void;
    /** Resolves once the sink accepts more, or is closed. */
    drained(): Promise<void>;
}
