/** The file system as the keep uses it, so that tests can make a disk full or a write torn. */
export interface FileOperations {
    /** Appends; may have written a part when it rejects. */
    append(path: string, text: string): Promise<void>;
    /** Appends and resolves once the bytes survive a power loss. */
    appendSynced(path: string, text: string): Promise<void>;
    read(path: string): Promise<Buffer>;
    /** Writes a whole file that appears under its name only when it is complete and on disk. */
    replace(path: string, text: string): Promise<void>;
    truncate(path: string, bytes: number): Promise<void>;
    remove(path: string): Promise<void>;
    makeFolder(path: string): Promise<void>;
    list(folder: string): Promise<{ path: string; bytes: number; modifiedAtMs: number; }[]>;
}
