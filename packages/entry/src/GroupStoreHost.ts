/** An entry with a data folder, which stores finished groups for all entries. */
export interface GroupStoreHost {
    entry: string;
    address: string;
}
