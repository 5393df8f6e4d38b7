/** File system operations of this package; tests replace them to simulate a full disk or a torn write. */
export interface FileOperations {
    /** Appends; may have written part of the text when it rejects. */
    append(path: string, text: string): Promise<void>;
    /** Appends and resolves once the bytes survive a power loss. */
    appendSynced(path: string, text: string): Promise<void>;
    read(path: string): Promise<Buffer>;
    /** Replaces a file atomically: the new content appears under its name only once it is complete and on disk. */
    replace(path: string, text: string): Promise<void>;
    truncate(path: string, bytes: number): Promise<void>;
    remove(path: string): Promise<void>;
    makeFolder(path: string): Promise<void>;
    list(folder: string): Promise<{ path: string; bytes: number; modifiedAtMs: number; }[]>;
}
