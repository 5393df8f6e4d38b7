/** Use of a sampler as one dispatcher sees it. */
export interface SamplerUse {
    limit: number;
    /** Items of all runners there, as far as known. */
    load: number;
    /** Items of the dispatcher there. */
    outstanding: number;
    /** Number of further items that the dispatcher would send. */
    room: number;
}
