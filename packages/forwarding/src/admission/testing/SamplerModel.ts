/** Capacity and speed of a test sampler. */
export interface SamplerModel {
    slots: number;
    /** Mean time of a request. */
    serviceMs: number;
}
