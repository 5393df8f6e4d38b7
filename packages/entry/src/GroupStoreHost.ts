/** An entry with a data folder that keeps groups for all. */
export interface GroupStoreHost {
    entry: string;
    address: string;
}
