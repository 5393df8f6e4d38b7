/** An entry with a data folder that keeps groups for all. */
export interface Keeper {
    entry: string;
    address: string;
}
